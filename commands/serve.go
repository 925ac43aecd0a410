package commands

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

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
			limitMemory(cfg.MemoryBytes)
			stop, force, end := stopSignals(ctx)
			defer end()
			logger, endLog := newBufferedLogger(cfg.LogLevel, cmd.Root().ErrWriter)
			defer endLog()
			watcher := &settingsWatcher[config.Config]{path: cmd.String("config"), load: config.Load, current: cfg, log: logger}
			endChecks := watcher.start(ctx)
			defer endChecks()
			host := &entry.Host{
				Config: cfg,
				Clock:  clock.System{},
				Steady: clock.Boot{},
				Log:    logger,
				OnReady: func(callers net.Addr) {
					_, _ = fmt.Fprintf(cmd.Root().Writer, "ready http://%s\n", callers)
				},
			}
			return host.Run(stop, force)
		},
	}
}

// stopSignals returns two contexts. The first SIGTERM or interrupt cancels stop,
// which starts a graceful shutdown. The second one cancels force, which makes it a
// forced shutdown. Until end is called, a log whose reader has ended doesn't end the
// process: by default, a write to a broken pipe does so for standard output and error.
func stopSignals(ctx context.Context) (stop, force context.Context, end func()) {
	stop, endStop := context.WithCancel(ctx)
	force, endForce := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	brokenPipes := make(chan os.Signal, 1)
	signal.Notify(brokenPipes, syscall.SIGPIPE) // Nobody receives it, the write fails.
	go func() {
		for _, cancel := range []context.CancelFunc{endStop, endForce} {
			select {
			case <-signals:
				cancel()
			case <-force.Done():
				return
			}
		}
	}()
	return stop, force, func() {
		signal.Stop(signals)
		signal.Stop(brokenPipes)
		endStop()
		endForce()
	}
}
