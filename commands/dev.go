package commands

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/entry"
	"sassafrasplank.example/sassafrasplank/internal/standin"
)

// devOperatorHash is the SHA-256 of the operator key "dev-operator".
const devOperatorHash = "c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0"

func newDev() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run an entry host with embedded stand-ins",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDR` for callers", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "operators", Usage: "`ADDR` for operators", Value: "127.0.0.1:0"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			stop, force, end := stopSignals(ctx)
			defer end()
			return runDev(stop, force, cmd)
		},
	}
}

func runDev(stop, force context.Context, cmd *cli.Command) error {
	ip, _, err := net.SplitHostPort(cmd.String("listen"))
	if err != nil {
		return badUsage("--listen: %v", err)
	}
	standins, stopStandins := context.WithCancel(context.Background())
	defer stopStandins()
	env := standin.NewEnvironment(clock.System{})
	if err := env.Start(standins, ip+":0", ip); err != nil {
		return err
	}
	cfg := devConfig(env.PlatformURL(), ip)
	cfg.Callers.Listen = cmd.String("listen")
	cfg.Operators.Listen = cmd.String("operators")
	logger, endLog := newBufferedLogger(cfg.LogLevel, cmd.Root().ErrWriter)
	defer endLog()
	host := &entry.Host{
		Config: cfg,
		Clock:  clock.System{},
		Steady: clock.Boot{},
		Log:    logger,
		OnServing: func(_, operators net.Addr) {
			_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "operators http://%s\n", operators)
		},
		OnReady: func(callers net.Addr) {
			_, _ = fmt.Fprintf(cmd.Root().Writer, "ready http://%s\n", callers)
		},
	}
	return host.Run(stop, force)
}

// devConfig returns the settings of an entry host that runs with the stand-ins.
func devConfig(platformURL, ip string) config.Config {
	cfg := config.Default()
	cfg.Host = "dev"
	cfg.FailureDomain = "west"
	cfg.Operators.Keys = []config.OperatorKey{{Name: "dev", SHA256: devOperatorHash}}
	cfg.Peers.Listen = ip + ":0"
	cfg.Platform.TableURL = platformURL
	cfg.Platform.ObjectURL = platformURL
	cfg.Platform.HostListURL = platformURL
	cfg.Placement.WarmUp = config.DurationOf(0)
	cfg.ShutdownDelay = config.DurationOf(0)
	return cfg
}
