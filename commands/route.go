package commands

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/entry"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/platform"
)

// logRing bounds the log lines that wait to be written. Beyond it lines are
// dropped, so that a slow reader never holds a request up.
const logRing = 1024

// memoryLimitShare is the part of a host's memory that the collector aims at.
// The rest is for what isn't on the heap, such as unread bytes of sockets.
const memoryLimitShare = 0.7

func newRoute() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "run an entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := config.LoadRouted(cmd.String("config"))
			if err != nil {
				return err
			}
			if cfg.MemoryBytes > 0 {
				debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryLimitShare))
			}
			stop, hasten, end := stopSignals(ctx)
			defer end()
			host := newRoutedHost(cfg, newRingLogger(cfg.LogLevel, cmd.Root().Writer))
			return host.Run(stop, hasten)
		},
	}
}

// newRoutedHost puts a host together with the adapter of the users' platform.
func newRoutedHost(cfg config.Routed, logger *log.Logger) *entry.RoutedHost {
	runner := &platform.Runner{}
	runner.Init()
	return &entry.RoutedHost{
		Config: cfg, Clock: clock.System{}, Steady: clock.Boot{}, Log: logger,
		Codec: platform.Codec{}, Transport: platform.NewTransport(), Translator: platform.Translator{},
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		Targets: runner, Orders: runner, Caches: runner, Freer: runner,
		Callers: func(g *gateway.Gateway, stopping func() bool) http.Handler {
			return &platform.Ingress{Gateway: g, Clock: clock.System{}, Log: logger, Stopping: stopping}
		},
	}
}

// newRingLogger returns a logger that never waits for its reader.
func newRingLogger(level string, w io.Writer) *log.Logger {
	return &log.Logger{
		Level:  log.ParseLevel(level),
		Writer: &log.AsyncWriter{ChannelSize: logRing, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}},
	}
}
