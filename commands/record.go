package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/operator"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

func newRecord() *cli.Command {
	return &cli.Command{
		Name:  "record",
		Usage: "read and change the operators' records",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Usage: "`URL` of an entry host's listener for operators", Value: "http://127.0.0.1:8081"},
			&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("SASSAFRASPLANK_OPERATOR_KEY")},
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "list records", ArgsUsage: "[KIND]", Action: listRecords},
			{Name: "get", Usage: "print a record with its revision", ArgsUsage: "KIND NAME", Action: getRecord},
			{Name: "put", Usage: "write the records of a file", ArgsUsage: "FILE", Flags: changeFlags(), Action: putRecords},
			{Name: "delete", Usage: "delete a record", ArgsUsage: "KIND NAME", Flags: changeFlags(), Action: deleteRecord},
			{Name: "history", Usage: "print accepted changes", Flags: []cli.Flag{
				&cli.Int64Flag{Name: "after", Usage: "print changes after `REVISION`"},
			}, Action: printHistory},
			{Name: "hosts", Usage: "print the state of the entry hosts", Action: printHosts},
			{Name: "ledger", Usage: "print the placements per client account and model", Action: printLedger},
		},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "based-on", Usage: "`REVISION` of the record's last change, zero for a new record"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check the change without applying it"},
	}
}

func listRecords(ctx context.Context, cmd *cli.Command) error {
	return show(ctx, cmd, "/records?kind="+cmd.Args().First())
}

func getRecord(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return badUsage("record get: want KIND NAME")
	}
	return show(ctx, cmd, "/records/"+cmd.Args().Get(0)+"/"+cmd.Args().Get(1))
}

func printHistory(ctx context.Context, cmd *cli.Command) error {
	return show(ctx, cmd, "/history?after="+strconv.FormatInt(cmd.Int64("after"), 10))
}

func printHosts(ctx context.Context, cmd *cli.Command) error { return show(ctx, cmd, "/hosts") }

func printLedger(ctx context.Context, cmd *cli.Command) error { return show(ctx, cmd, "/ledger") }

func putRecords(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return badUsage("record put: want FILE")
	}
	path := cmd.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading records: %w", err)
	}
	records, findings := record.DecodeFile(path, data)
	if err := findings.Err(); err != nil {
		return err
	}
	if len(records) == 0 {
		return errNoRecord
	}
	for _, r := range records {
		body, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encoding record: %w", err)
		}
		if err := change(ctx, cmd, http.MethodPut, r.Kind, r.Name, body); err != nil {
			return err
		}
	}
	return nil
}

func deleteRecord(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return badUsage("record delete: want KIND NAME")
	}
	return change(ctx, cmd, http.MethodDelete, record.Kind(cmd.Args().Get(0)), cmd.Args().Get(1), nil)
}

func change(ctx context.Context, cmd *cli.Command, method string, kind record.Kind, name string, body []byte) error {
	path := fmt.Sprintf("/records/%s/%s?basedOn=%d&dryRun=%t", kind, name, cmd.Int64("based-on"), cmd.Bool("dry-run"))
	return callOperator(ctx, cmd, method, path, body)
}

func show(ctx context.Context, cmd *cli.Command, path string) error {
	return callOperator(ctx, cmd, http.MethodGet, path, nil)
}

// callOperator calls the administration API of an entry host and prints the
// response.
func callOperator(ctx context.Context, cmd *cli.Command, method, path string, body []byte) error {
	url := cmd.String("url") + "/admin/v1" + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return badUsage("--url: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("calling the entry host: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response.StatusCode, data)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, indented.String())
	return err
}

// problemError converts the body of an error response into an error.
func problemError(status int, data []byte) error {
	var p operator.Problem
	if json.Unmarshal(data, &p) != nil || p.Message == "" {
		return fmt.Errorf("the entry host answered with status %d", status)
	}
	err := errors.New(p.Message)
	for _, f := range p.Findings {
		err = fmt.Errorf("%w\n%s", err, f)
	}
	if p.CurrentRevision > 0 {
		err = fmt.Errorf("%w; look at revision %d", err, p.CurrentRevision)
	}
	if p.MayBeAccepted {
		err = fmt.Errorf("%w; the change may have been accepted, look for nonce %s in record history", err, p.Nonce)
	}
	return err
}
