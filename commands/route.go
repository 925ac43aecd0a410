package commands

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/logbuffer"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/entry"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/platform"
)

// logBufferLines is the maximum number of log lines that wait to be written. Further
// lines are dropped, so that a slow reader never delays a request.
const logBufferLines = 1024

// memoryLimitShare is the share of a host's memory that is set as the memory limit
// of the Go runtime. The rest is for memory outside the runtime, such as unread
// bytes of sockets.
const memoryLimitShare = 0.7

// longNamesMemoryShare is the share of a host's memory for IDs and models above 512 bytes of the
// requests of the last 75 s.
const longNamesMemoryShare = 0.05

// gcPercent is by how many percent the memory of the Go runtime may grow between two garbage
// collections. 200 took a third more memory for 4% less processor time, 50 a sixth more
// processor time for 13% less memory.
const gcPercent = 100

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
			limitMemory(cfg.MemoryBytes)
			stop, force, end := stopSignals(ctx)
			defer end()
			logger, endLog := newBufferedLogger(cfg.LogLevel, cmd.Root().Writer)
			defer endLog()
			watcher := &settingsWatcher[config.Routed]{path: cmd.String("config"), load: config.LoadRouted, current: cfg, log: logger}
			endChecks := watcher.start(ctx)
			defer endChecks()
			return newRoutedHost(cfg, logger).Run(stop, force)
		},
	}
}

// limitMemory sets the memory limit of the Go runtime for a process that may use the given number of
// bytes, unless that is 0.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitShare))
		debug.SetGCPercent(gcPercent)
	}
}

// newRoutedHost returns an entry host that uses the adapter of the users' platform.
func newRoutedHost(cfg config.Routed, logger *log.Logger) *entry.RoutedHost {
	client := &platform.TargetClient{}
	budgets := entry.NewBudgets(cfg.MemoryBytes)
	client.Room = budgets[entry.BudgetAnswers]
	client.Init()
	return &entry.RoutedHost{
		Config: cfg, Clock: clock.NewCoalesced(clock.System{}), Steady: clock.Boot{}, Log: logger,
		Codec: platform.Codec{}, Transport: platform.NewTransport(), Translator: platform.Translator{},
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		Targets: client, Orders: client, CacheEvents: client, Freer: client, StoreLists: client,
		HostCaller: client, RelayPrefix: platform.RelayPrefix, Budgets: budgets, RefusalBody: platform.RefusalBody,
		Handlers: func(g *gateway.Gateway, stopping func() bool) (callers, relayed http.Handler) {
			in := &platform.Ingress{Gateway: g, Clock: clock.System{}, Log: logger, Stopping: stopping, Room: budgets[entry.BudgetBodies]}
			if cfg.MemoryBytes > 0 {
				in.LongNames = platform.NewLongNames(int64(float64(cfg.MemoryBytes) * longNamesMemoryShare))
			}
			return in.NewHandlers(client)
		},
	}
}

// newBufferedLogger returns a logger that never waits for its reader, and a function
// that writes the remaining lines and stops the logger.
func newBufferedLogger(level string, w io.Writer) (logger *log.Logger, end func()) {
	buffer := logbuffer.New(w, logBufferLines)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- buffer.Run(ctx) }()
	logger = &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: buffer}}
	return logger, func() {
		cancel()
		if err := <-done; err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	}
}
