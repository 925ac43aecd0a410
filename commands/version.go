package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/version"
)

func newVersion() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "sassafrasplank", version.String())
			return err
		},
	}
}
