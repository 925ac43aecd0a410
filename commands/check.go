package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/configcheck"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
	"sassafrasplank.example/sassafrasplank/platform"
)

func newCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check files of settings, records and configurations of route",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "compare the files with the version in force, in a file or at the `FILE|URL` of an entry host's listener for operators"},
			&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("SASSAFRASPLANK_OPERATOR_KEY")},
			&cli.BoolFlag{Name: "json", Usage: "print findings and differences as one JSON document"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.NArg() == 0 {
				return badUsage("check: want at least one file")
			}
			files := readFiles(cmd.Args().Slice())
			report := &checkReport{Findings: finding.List{}, Differences: []configcheck.Difference{}}
			if location := cmd.String("against"); location != "" {
				if err := report.compare(ctx, files, location, cmd.String("key")); err != nil {
					return err
				}
			} else {
				report.Findings = append(report.Findings, files.check()...)
			}
			return report.print(cmd)
		},
	}
}

// checkReport is what the command prints.
type checkReport struct {
	Findings    finding.List             `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

// print prints the report, and returns an error if it contains findings.
func (r *checkReport) print(cmd *cli.Command) error {
	w := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("printing the report: %w", err)
		}
	} else {
		for _, f := range r.Findings {
			_, _ = fmt.Fprintln(w, f)
		}
		for i := range r.Differences {
			for _, line := range r.Differences[i].Lines() {
				_, _ = fmt.Fprintln(w, line)
			}
		}
	}
	if n := len(r.Findings); n > 0 {
		return fmt.Errorf("%d findings", n)
	}
	return nil
}

// checkedFiles are the contents of files, and the findings about each file on its own.
type checkedFiles struct {
	findings finding.List
	set      *record.Set
	// records are the texts of the records by their keys.
	records map[string]*jsonc.Document
	configs []*platform.ConfigFile
}

func newCheckedFiles() *checkedFiles {
	return &checkedFiles{set: record.NewSet(), records: map[string]*jsonc.Document{}}
}

// readFiles reads the files and checks each on its own.
func readFiles(paths []string) *checkedFiles {
	files := newCheckedFiles()
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			files.findings = append(files.findings, finding.Finding{Place: finding.Place{Source: path}, Message: err.Error()})
			continue
		}
		doc, err := jsonc.Parse(path, data)
		if err != nil {
			files.findings = append(files.findings, finding.From(err, finding.Place{Source: path})...)
			continue
		}
		files.add(path, doc, data)
	}
	files.findings.Sort()
	return files
}

func (c *checkedFiles) add(path string, doc *jsonc.Document, data []byte) {
	var found finding.List
	switch {
	case containsRecords(doc):
		var records []record.Record
		records, found = record.DecodeFile(path, data)
		c.addRecords(records, doc.Elements())
	case platform.IsConfigFile(doc):
		var cfg *platform.ConfigFile
		if cfg, found = platform.DecodeConfigFile(doc, data); cfg != nil {
			c.configs = append(c.configs, cfg)
		}
	default:
		found = finding.From(checkSettings(doc, path, data), finding.Place{Source: path})
	}
	c.findings = append(c.findings, found...)
}

// check returns the findings about each file. If there are none, it returns those about the references
// between the records.
func (c *checkedFiles) check() finding.List {
	if len(c.findings) > 0 {
		return c.findings
	}
	findings := locate(c.set.CheckReferences(), c.records)
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

// addRecords adds the valid records of a file. It keeps their texts if all records of the file are valid.
func (c *checkedFiles) addRecords(records []record.Record, elements []*jsonc.Document) finding.List {
	var changes []record.Change
	for i, r := range records {
		changes = append(changes, record.Change{Record: r})
		if len(elements) == len(records) {
			c.records[r.Key()] = elements[i]
		}
	}
	var findings finding.List
	c.set, findings = c.set.With(c.set.Revision+1, changes)
	return findings
}

// locate sets the place of findings about a record to the place of its name, and
// prefixes their messages with the key of the record.
func locate(findings finding.List, records map[string]*jsonc.Document) finding.List {
	for i := range findings {
		if doc, ok := records[findings[i].Place.Source]; ok {
			findings[i].Message = findings[i].Place.Source + ": " + findings[i].Message
			findings[i].Place = doc.Place("/name")
		}
	}
	return findings
}

// containsRecords reports whether a file is an array or an object with a kind.
func containsRecords(doc *jsonc.Document) bool {
	return doc.IsArray() || doc.Has("/kind")
}

var errNoRecord = errors.New("the file contains no record")
