package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/load"
)

func newLoad() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to entry hosts that use the stand-ins and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "`URL` of an entry host, may be repeated", Value: []string{"http://127.0.0.1:8080"}},
			&cli.StringFlag{Name: "key", Usage: "caller `KEY`", Value: "dev-orders"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model", Value: "letters"},
			&cli.StringFlag{Name: "weights", Usage: "weight `VERSION` that must give the answers", Value: "letters-v1"},
			&cli.IntFlag{Name: "requests", Usage: "`NUMBER` of requests", Value: 100},
			&cli.IntFlag{Name: "concurrency", Usage: "`NUMBER` of concurrent requests", Value: 20},
			&cli.IntFlag{Name: "tokens", Usage: "length of each answer in `TOKENS`", Value: 50},
			&cli.IntFlag{Name: "prompt-bytes", Usage: "length of the common beginning of the prompts in `BYTES`", Value: 1024},
			&cli.BoolFlag{Name: "stream", Usage: "request answers as server-sent events"},
			&cli.StringFlag{Name: "salt", Usage: "`TEXT` that makes the prompts differ from those of other runs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			transport := &http.Transport{MaxIdleConnsPerHost: cmd.Int("concurrency")}
			generator := &load.Generator{
				HTTP:        &http.Client{Transport: transport},
				Clock:       clock.System{},
				URLs:        cmd.StringSlice("url"),
				Key:         cmd.String("key"),
				Model:       cmd.String("model"),
				Version:     cmd.String("weights"),
				Requests:    cmd.Int("requests"),
				Concurrency: cmd.Int("concurrency"),
				Tokens:      cmd.Int("tokens"),
				PromptBytes: cmd.Int("prompt-bytes"),
				Stream:      cmd.Bool("stream"),
				Salt:        cmd.String("salt"),
			}
			result := generator.Run(ctx)
			text, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return fmt.Errorf("encoding result: %w", err)
			}
			_, _ = fmt.Fprintln(cmd.Root().Writer, string(text))
			if failures := result.Wrong + result.Failed + result.Refused; failures > 0 {
				return fmt.Errorf("%d of %d requests were not answered correctly and completely", failures, cmd.Int("requests"))
			}
			return nil
		},
	}
}
