package commands

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

func newCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check files of settings and records",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() == 0 {
				return badUsage("check: want at least one file")
			}
			findings := checkFiles(cmd.Args().Slice())
			for _, f := range findings {
				_, _ = fmt.Fprintln(cmd.Root().Writer, f)
			}
			if len(findings) > 0 {
				return fmt.Errorf("%d findings", len(findings))
			}
			return nil
		},
	}
}

// checkFiles checks each file on its own. If all of them are valid, it also checks
// the references between their records.
func checkFiles(paths []string) finding.List {
	var findings finding.List
	set := record.NewSet()
	places := map[string]finding.Place{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			findings = append(findings, finding.Finding{Place: finding.Place{Source: path}, Message: err.Error()})
			continue
		}
		doc, err := jsonc.Parse(path, data)
		if err != nil {
			findings = append(findings, finding.From(err, finding.Place{Source: path})...)
			continue
		}
		if !containsRecords(doc) {
			err := checkSettings(doc, path, data)
			findings = append(findings, finding.From(err, finding.Place{Source: path})...)
			continue
		}
		records, found := record.DecodeFile(path, data)
		findings = append(findings, found...)
		set = addRecords(set, records, doc, places)
	}
	if len(findings) == 0 {
		findings = locate(set.CheckReferences(), places)
	}
	findings.Sort()
	return findings
}

// checkSettings checks the settings for the command serve or route. Only the latter
// have a readiness listener.
func checkSettings(doc *jsonc.Document, path string, data []byte) error {
	if doc.Has("/readiness") {
		_, err := config.DecodeRouted(path, data)
		return err
	}
	_, err := config.Decode(path, data)
	return err
}

// addRecords returns the set with the records of a file added. It sets the place of
// each record in places, if all records of the file are valid.
func addRecords(set *record.Set, records []record.Record, doc *jsonc.Document, places map[string]finding.Place) *record.Set {
	var changes []record.Change
	elements := doc.Elements()
	for i, r := range records {
		changes = append(changes, record.Change{Record: r})
		if len(elements) == len(records) {
			places[r.Key()] = elements[i].Place("/name")
		}
	}
	next, _ := set.With(set.Revision+1, changes)
	return next
}

// locate sets the place of findings about a record to the place of its name, and
// prefixes their messages with the key of the record.
func locate(findings finding.List, places map[string]finding.Place) finding.List {
	for i := range findings {
		if place, ok := places[findings[i].Place.Source]; ok {
			findings[i].Message = findings[i].Place.Source + ": " + findings[i].Message
			findings[i].Place = place
		}
	}
	return findings
}

// containsRecords reports whether a file is an array or an object with a kind.
func containsRecords(doc *jsonc.Document) bool {
	return doc.IsArray() || doc.Has("/kind")
}

var errNoRecord = errors.New("the file contains no record")
