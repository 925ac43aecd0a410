package commands

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/standin"
)

func newStandin() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run the stand-ins alone, for entry hosts in other processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDR` of the platform's services", Value: "127.0.0.1:9000"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ip, _, err := net.SplitHostPort(cmd.String("listen"))
			if err != nil {
				return badUsage("--listen: %v", err)
			}
			stop, _, end := stopSignals(ctx)
			defer end()
			env := standin.NewEnvironment(clock.System{})
			if err := env.Start(stop, cmd.String("listen"), ip); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.Root().Writer, "ready %s\n", env.PlatformURL())
			<-stop.Done()
			return nil
		},
	}
}
