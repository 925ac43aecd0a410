package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/capacity"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

func newSlopes() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how cost grows with size and print the table of docs/CAPACITY.md",
		Action: func(_ context.Context, cmd *cli.Command) error {
			meter := &capacity.Meter{Clock: clock.System{}}
			w := cmd.Root().Writer
			_, _ = fmt.Fprintln(w, "| what | unit | grows with | measured | fit | at the target |")
			_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|")
			for _, slope := range meter.All() {
				_, _ = fmt.Fprintln(w, slope.String())
			}
			return nil
		},
	}
}
