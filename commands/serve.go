package commands

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/entry"
)

func newServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := config.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			stop, hasten, end := stopSignals(ctx)
			defer end()
			host := &entry.Host{
				Config: cfg,
				Clock:  clock.System{},
				Log:    newLogger(cfg.LogLevel, cmd.Root().ErrWriter),
				OnReady: func(callers net.Addr) {
					_, _ = fmt.Fprintf(cmd.Root().Writer, "ready http://%s\n", callers)
				},
			}
			return host.Run(stop, hasten)
		},
	}
}

// stopSignals returns a context that the first SIGTERM or interrupt ends, and
// one that the second ends.
func stopSignals(ctx context.Context) (stop, hasten context.Context, end func()) {
	stop, endStop := context.WithCancel(ctx)
	hasten, endHasten := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, cancel := range []context.CancelFunc{endStop, endHasten} {
			select {
			case <-signals:
				cancel()
			case <-hasten.Done():
				return
			}
		}
	}()
	return stop, hasten, func() {
		signal.Stop(signals)
		endStop()
		endHasten()
	}
}

func newLogger(level string, w io.Writer) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}
