// Package commands implements the command line of sassafrasplank, with one file per
// command.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// usageError reports an invalid command line.
type usageError struct {
	message string
}

// Error returns the message.
func (e *usageError) Error() string { return e.message }

func badUsage(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// Execute runs the command named by args and returns the exit code.
func Execute(args []string) int {
	return run(context.Background(), args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	var usage *usageError
	var unreadable *unreadableError
	if errors.As(err, &usage) || errors.As(err, &unreadable) {
		return exitBadUsage
	}
	return exitFailed
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:      "sassafrasplank",
		Usage:     "place language-model jobs of many client accounts onto shared engines",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			newServe(),
			newRoute(),
			newDev(),
			newStandin(),
			newCheck(),
			newRecord(),
			newLoad(),
			newBook(),
			newSlopes(),
			newVersion(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return badUsage("%v", err)
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return badUsage("%s is not a command; see sassafrasplank --help", name)
			}
			return cli.ShowAppHelp(cmd)
		},
	}
	for _, command := range root.Commands {
		command.OnUsageError = root.OnUsageError
	}
	return root
}
