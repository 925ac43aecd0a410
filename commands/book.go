package commands

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func newBook() *cli.Command {
	return &cli.Command{
		Name:  "book",
		Usage: "book one dock appointment through several entry hosts at once",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "`URL` of an entry host, may be repeated", Value: []string{"http://127.0.0.1:8080"}},
			&cli.StringFlag{Name: "key", Usage: "caller `KEY`", Value: "dev-claims"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "`KEY` of the booking", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			urls := cmd.StringSlice("url")
			answers := make([]string, len(urls))
			var group errgroup.Group
			for i, url := range urls {
				group.Go(func() error {
					answer, err := book(ctx, url, cmd.String("key"), cmd.String("idempotency-key"))
					answers[i] = answer
					return err
				})
			}
			err := group.Wait()
			for _, answer := range answers {
				_, _ = fmt.Fprintln(cmd.Root().Writer, answer)
			}
			return err
		},
	}
}

func book(ctx context.Context, url, key, idempotencyKey string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/docks/appointments", http.NoBody)
	if err != nil {
		return "", badUsage("--url: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("calling the entry host: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("reading the answer: %w", err)
	}
	return fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(data))), nil
}
