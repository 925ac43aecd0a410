package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/internal/configcheck"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
	"sassafrasplank.example/sassafrasplank/platform"
)

const (
	// maxInForceBytes limits the version in force that is read.
	maxInForceBytes = 64 << 20
	// inForceTimeout is how long an entry host may take to answer with it.
	inForceTimeout = 30 * time.Second
)

// unreadableError reports that the version in force can't be read.
type unreadableError struct {
	err error
}

// Error returns the cause.
func (e *unreadableError) Error() string { return "reading the version in force: " + e.err.Error() }

// Unwrap returns the cause.
func (e *unreadableError) Unwrap() error { return e.err }

// compare compares the files with the version in force, unless there are findings about the files.
func (r *checkReport) compare(ctx context.Context, files *checkedFiles, location, key string) error {
	inForce, err := readInForce(ctx, location, key)
	if err != nil {
		return &unreadableError{err}
	}
	if r.Findings = append(r.Findings, files.findings...); len(r.Findings) > 0 {
		return nil
	}
	records := len(files.set.Records) > 0
	switch {
	case records && len(files.configs) > 0, len(files.configs) > 1:
		return badUsage("check: --against compares records or one configuration of route, not several of these")
	case !records && len(files.configs) == 0:
		return badUsage("check: --against compares records or a configuration of route, the files contain neither")
	case records != (len(inForce.configs) == 0):
		return badUsage("check: only one of the files and the version in force contains a configuration of route")
	case records:
		r.compareRecords(files, inForce, time.Now())
	default:
		r.Findings, r.Differences = files.configs[0].Compare(inForce.configs[0])
	}
	return nil
}

// readInForce reads the version in force from a file, or from an entry host if the location is a URL.
func readInForce(ctx context.Context, location, key string) (*checkedFiles, error) {
	isURL := strings.HasPrefix(location, "http://") || strings.HasPrefix(location, "https://")
	var data []byte
	var err error
	if isURL {
		data, err = getRecords(ctx, location, key)
	} else {
		data, err = os.ReadFile(location)
	}
	if err != nil {
		return nil, err
	}
	doc, err := jsonc.Parse(location, data)
	if err != nil {
		return nil, err
	}
	files := newCheckedFiles()
	if platform.IsConfigFile(doc) && !isURL {
		files.add(location, doc, data)
		return files, files.findings.Err()
	}
	// The answer of an entry host, as record list prints it.
	if list := doc.At("/records"); list != nil {
		doc = list
	} else if !containsRecords(doc) {
		return nil, fmt.Errorf("%s: want records or a configuration of route", location)
	}
	return files, files.addInForce(doc)
}

// addInForce adds the records of a version in force.
func (c *checkedFiles) addInForce(doc *jsonc.Document) error {
	var records []record.Record
	for _, element := range doc.Elements() {
		text, err := element.JSON()
		if err != nil {
			return err
		}
		var r record.Record
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s: %w", element.Place(""), err)
		}
		records = append(records, r)
	}
	return c.addRecords(records, doc.Elements()).Err()
}

// getRecords returns all records that are in force on an entry host, with the lines that record list prints.
func getRecords(ctx context.Context, url, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+"/admin/v1/records", http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling the entry host: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxInForceBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reading the answer: %w", err)
	case response.StatusCode != http.StatusOK:
		return nil, problemError(response.StatusCode, data)
	case len(data) > maxInForceBytes:
		return nil, errors.New("the answer is longer than 64 MiB")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	return indented.Bytes(), nil
}

// compareRecords compares records with those in force. The findings are those of the records that are in
// force after the files were sent, which deletes none.
func (r *checkReport) compareRecords(files, inForce *checkedFiles, now time.Time) {
	next, _ := inForce.set.With(inForce.set.Revision+1, files.set.Changes()) // All of them are valid.
	texts := maps.Clone(inForce.records)
	maps.Copy(texts, files.records)
	sent := map[string]bool{}
	for key := range files.set.Records {
		sent[key] = true
	}
	r.Findings = append(r.Findings, locate(next.CheckReferences(), texts)...)
	issues := configcheck.NewRecordIssues(inForce.set, next, sent, now)
	r.Findings = append(r.Findings, configcheck.Locate(issues, func(key, field string) finding.Place { return placeOfField(texts[key], field) })...)
	r.Findings.Sort()
	r.Differences = append(r.Differences, configcheck.Compare(recordEntries(inForce), recordEntries(files))...)
	// Entry hosts write refusals as well, so those that aren't in the files say nothing.
	r.Differences = slices.DeleteFunc(r.Differences, func(d configcheck.Difference) bool {
		return d.Change == configcheck.Removed && strings.HasPrefix(d.Entry, string(record.KindRefusal)+"/")
	})
}

// recordEntries returns the records as entries.
func recordEntries(files *checkedFiles) []configcheck.Entry {
	return configcheck.RecordEntries(files.set, func(key, field string) finding.Place { return placeOfField(files.records[key], field) })
}

// placeOfField returns the place of a field in the specification of a record, or that of its name.
func placeOfField(doc *jsonc.Document, field string) finding.Place {
	if field == "" {
		return doc.Place("/name")
	}
	return doc.Place("/spec" + configcheck.Pointer(field))
}
