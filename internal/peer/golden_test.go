package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// Messages of an earlier build are in a folder with the name of its commit.
const (
	goldenDir = "testdata"
	// goldenFields lists the fields of all messages, and the calls.
	goldenFields = "fields.txt"
)

// messageFields returns a line for each field of each message and for each call.
func messageFields() []string {
	var lines []string
	file := wire.File_internal_peer_wire_peer_proto
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		for n := range m.Fields().Len() {
			f := m.Fields().Get(n)
			kind := f.Kind().String()
			switch f.Kind() {
			case protoreflect.MessageKind:
				kind = string(f.Message().Name())
			case protoreflect.EnumKind:
				kind = string(f.Enum().Name())
			default:
			}
			lines = append(lines, fmt.Sprintf("%s %d %s %s %s", m.Name(), f.Number(), f.Name(), f.Cardinality(), kind))
		}
	}
	for i := range file.Enums().Len() {
		e := file.Enums().Get(i)
		for n := range e.Values().Len() {
			lines = append(lines, fmt.Sprintf("%s %d %s", e.Name(), e.Values().Get(n).Number(), e.Values().Get(n).Name()))
		}
	}
	for i := range file.Services().Len() {
		s := file.Services().Get(i)
		for n := range s.Methods().Len() {
			m := s.Methods().Get(n)
			lines = append(lines, fmt.Sprintf("%s %s(%s) %s", s.FullName(), m.Name(), m.Input().Name(), m.Output().Name()))
		}
	}
	return lines
}

// goldenReport has a value in each field, with a different unit or place for each.
func goldenReport() Report {
	return Report{
		Revision: 3, HighestRevision: 4, ContactAge: 583 * time.Millisecond, ContactKnown: true, RequestsInFlight: 5, Ready: true,
		Demands: []AccountDemand{{Account: "orders", TokensPerSecond: 12.5, InFlight: 2}},
		Loads: []placement.TargetLoad{{
			Target: "e5", Requests: 7, PrefillTokens: 100, Slowness: 1.5, HeldTokens: 310,
			Pace: pace.Sums{Samples: []float64{1, 2.5}, Seconds: []float64{0.0625, 0.125}, Refused: []float64{0, 0.5}, Age: 99 * time.Millisecond},
		}},
		Suspects: []retry.Suspect{{
			Key: "f00d", Part: true, Age: 1100 * time.Millisecond, Count: 2, Answered: true, AnsweredAge: time.Minute,
			Crashes: []retry.Crash{{Target: "e1", Age: 1200 * time.Millisecond}, {Target: "e2", Age: 2 * time.Second}},
		}},
		Tables:  []TableVersion{{Table: "op", CopyState: platform.CopyState{Position: platform.Position{Era: 8, Version: 29}}}},
		Leaving: []LeavingTarget{{Target: "e3", Started: 1796454876292}},
		Limits:  []TargetLimit{{Target: "e0", Started: 11, Limited: true, PerSecond: 400, Age: 155 * time.Millisecond}},
		Brittle: []TargetLimit{{Target: "e4", Started: 13, Limited: true, PerSecond: 6, Age: 129 * time.Millisecond}},
	}
}

// laterFields are the fields of the golden messages that came after the first of the earlier
// builds, and what it means that they are missing.
var laterFields = []struct {
	message, field string
	remove         func(r *Report)
}{
	{"Report", "limits", func(r *Report) { r.Limits = nil }},
	{"Report", "brittle", func(r *Report) { r.Brittle = nil }},
	{"Suspect", "targets", func(r *Report) { r.Suspects[0].Crashes = nil }},
	{"Suspect", "answered", func(r *Report) { r.Suspects[0].Answered = false }},
	{"Suspect", "answered_age_millis", func(r *Report) { r.Suspects[0].AnsweredAge = 0 }},
	{"Suspect", "part", func(r *Report) { r.Suspects[0].Part = false }},
	{"TargetLoad", "pace_samples", func(r *Report) { r.Loads[0].Pace = pace.Sums{} }},
}

// goldenReportOf returns the golden report as a build with the given fields writes it.
func goldenReportOf(fields []string) Report {
	report := goldenReport()
	for _, later := range laterFields {
		known := slices.ContainsFunc(fields, func(line string) bool {
			words := strings.Fields(line)
			return words[0] == later.message && words[2] == later.field
		})
		if !known {
			later.remove(&report)
		}
	}
	return report
}

func goldenMembers() []membership.Member {
	return []membership.Member{
		{Name: "host-1", URL: "http://127.0.0.1:7701", FailureDomain: "north", Incarnation: 1796454876292873832, Refutation: 2, Status: membership.Suspect},
		{Name: "host-2", URL: "http://127.0.0.2:7701", FailureDomain: "south", Incarnation: 1796454876292596457, Status: membership.Left},
	}
}

func goldenUpdate() CacheUpdate {
	return CacheUpdate{
		Source: "e6", Epoch: 4, Next: 77, Gap: true, Clock: 123456, Age: 250 * time.Millisecond,
		Events: []CacheEvent{{Number: 75, Namespace: "souk", Part: "aa", Tokens: 200}, {Number: 76, Removed: true, Namespace: "other", Part: "bb", Tokens: 100}},
	}
}

// goldenMessages are messages with a value in each field that hosts of a build use.
func goldenMessages(report Report) map[string]proto.Message {
	members, update := goldenMembers(), goldenUpdate()
	return map[string]proto.Message{
		"report":  report.encode(),
		"members": &wire.MembersResponse{Members: encodeMembers(members)},
		"caches":  &wire.CacheEventsResponse{Updates: []*wire.CacheUpdate{update.encode()}},
		"loads":   &wire.CollectLoadsRequest{Host: "host-1", Collector: true, Loads: encodeLoads(report.Loads)},

		"place": goldenPlace(), "placed": goldenPlaced(), "progress": goldenProgress(), "progressed": goldenProgressed(),
	}
}

// eachCommit runs a test for each earlier build of which messages are kept.
func eachCommit(t *testing.T, test func(t *testing.T, dir string)) {
	t.Helper()
	dirs, err := filepath.Glob(filepath.Join(goldenDir, "*", goldenFields))
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no messages of earlier builds under %s: %v", goldenDir, err)
	}
	for _, path := range dirs {
		dir := filepath.Dir(path)
		t.Run(filepath.Base(dir), func(t *testing.T) { test(t, dir) })
	}
}

// envCapture is a folder for the fields and messages of this build.
const envCapture = "SASSAFRASPLANK_UPGRADE_CAPTURE"

// TestWriteMessagesOfThisBuild writes all fields, and messages with a value in each, to a folder, as
// they are kept under testdata once the commit has landed. By hand:
//
//	SASSAFRASPLANK_UPGRADE_CAPTURE=DIR go test ./internal/peer -run TestWriteMessagesOfThisBuild
func TestWriteMessagesOfThisBuild(t *testing.T) {
	dir := os.Getenv(envCapture)
	if dir == "" {
		t.Skipf("%s is not set, so no files are written", envCapture)
	}
	files := map[string][]byte{goldenFields: []byte(strings.Join(messageFields(), "\n") + "\n")}
	for name, m := range goldenMessages(goldenReport()) {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		files[name+".pb"] = data
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// readFields reads the fields and calls of an earlier build.
func readFields(t *testing.T, dir string) []string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, goldenFields))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

// readMessage decodes a message of an earlier build. All its fields must be known.
func readMessage(t *testing.T, path string, m proto.Message) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if diff := cmp.Diff([]string(nil), unknownFields(m.ProtoReflect())); diff != "" {
		t.Errorf("%s: unknown fields (-want +got):\n%s", path, diff)
	}
}

// unknownFields returns the names of the messages within m, or m itself, that have unknown fields.
func unknownFields(m protoreflect.Message) []string {
	var unknown []string
	if len(m.GetUnknown()) > 0 {
		unknown = append(unknown, string(m.Descriptor().Name()))
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := range v.List().Len() {
				unknown = append(unknown, unknownFields(v.List().Get(i).Message())...)
			}
		default:
			unknown = append(unknown, unknownFields(v.Message())...)
		}
		return true
	})
	return unknown
}

// No field or call of an earlier build may be renamed, given another number or type, or go.
func TestFieldsOfEarlierBuild(t *testing.T) {
	present := messageFields()
	eachCommit(t, func(t *testing.T, dir string) {
		missing := slices.DeleteFunc(readFields(t, dir), func(line string) bool { return slices.Contains(present, line) })
		if diff := cmp.Diff([]string{}, missing); diff != "" {
			t.Errorf("fields that hosts of the earlier build use (-want +got):\n%s", diff)
		}
	})
}

// Messages with a value in each field must be read as the earlier build wrote them, and be written
// as it reads them.
func TestAllFieldsOfEarlierBuild(t *testing.T) {
	eachCommit(t, func(t *testing.T, dir string) {
		read := map[string]proto.Message{
			"report": &wire.Report{}, "members": &wire.MembersResponse{}, "caches": &wire.CacheEventsResponse{}, "loads": &wire.CollectLoadsRequest{},
			"place": &wire.PlaceRequest{}, "placed": &wire.PlaceResponse{}, "progress": &wire.ProgressRequest{}, "progressed": &wire.ProgressResponse{},
		}
		fields := readFields(t, dir)
		wantReport := goldenReportOf(fields)
		for name, want := range goldenMessages(wantReport) {
			prefix := string(want.ProtoReflect().Descriptor().Name()) + " "
			if !slices.ContainsFunc(fields, func(line string) bool { return strings.HasPrefix(line, prefix) }) {
				continue // The build doesn't know the message.
			}
			readMessage(t, filepath.Join(dir, name+".pb"), read[name])
			if !proto.Equal(want, read[name]) {
				t.Errorf("%s: want %v, got %v", name, want, read[name])
			}
		}
		report, err := decodeReport(read["report"].(*wire.Report))
		members, membersErr := decodeMembers(read["members"].(*wire.MembersResponse).Members, maxMembers)
		updates, updatesErr := decodeCacheUpdates(read["caches"].(*wire.CacheEventsResponse).Updates)
		loads, loadsErr := decodeLoads(read["loads"].(*wire.CollectLoadsRequest).Loads)
		got := []any{report, members, updates, loads, err, membersErr, updatesErr, loadsErr}
		want := []any{wantReport, goldenMembers(), []CacheUpdate{goldenUpdate()}, wantReport.Loads, error(nil), error(nil), error(nil), error(nil)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("decoded messages (-want +got):\n%s", diff)
		}
	})
}

// Exchanges that running hosts of an earlier build sent must be accepted.
func TestExchangesOfEarlierBuild(t *testing.T) {
	eachCommit(t, func(t *testing.T, dir string) {
		request, response := &wire.ExchangeRequest{}, &wire.ExchangeResponse{}
		readMessage(t, filepath.Join(dir, "Exchange.request.pb"), request)
		readMessage(t, filepath.Join(dir, "Exchange.response.pb"), response)
		checkExchange(t, request.From, request.Report, request.Updates)
		checkExchange(t, response.From, response.Report, response.Updates)
		loads, sums := &wire.CollectLoadsRequest{}, &wire.CollectLoadsResponse{}
		readMessage(t, filepath.Join(dir, "CollectLoads.request.pb"), loads)
		readMessage(t, filepath.Join(dir, "CollectLoads.response.pb"), sums)
		for _, encoded := range [][]*wire.TargetLoad{loads.Loads, sums.Loads} {
			if decoded, err := decodeLoads(encoded); err != nil || len(decoded) == 0 {
				t.Errorf("loads: got %v and error %v, want some", decoded, err)
			}
		}
	})
}

func checkExchange(t *testing.T, from *wire.Member, encoded *wire.Report, members []*wire.Member) {
	t.Helper()
	sender, fromErr := decodeMembers([]*wire.Member{from}, maxUpdates)
	report, err := decodeReport(encoded)
	updates, updatesErr := decodeMembers(members, maxUpdates)
	for _, m := range slices.Concat(sender, updates) {
		if m.Build != "" || m.Protocol != 0 {
			t.Errorf("member %s: got build %q and protocol %d, want none", m.Name, m.Build, m.Protocol)
		}
	}
	got := []any{len(sender) == 1 && fromErr == nil, err, updatesErr, len(updates) > 0, report.Ready, report.ContactKnown, report.ContactAge < time.Second, len(report.Loads) > 0, len(report.Tables)}
	if diff := cmp.Diff([]any{true, nil, nil, true, true, true, true, true, 3}, got); diff != "" {
		t.Errorf("exchange (-want +got):\n%s", diff)
	}
	for _, l := range slices.Concat(report.Limits, report.Brittle) {
		if l.Age > time.Second || (l.PerSecond != 400 && l.PerSecond != 6) {
			t.Errorf("limit of %s: %g per second, stated %s ago, want 400 or 6 within a second", l.Target, l.PerSecond, l.Age)
		}
	}
}

// Rows of tables and batches of the ledger that running hosts of an earlier build sent must be
// accepted.
func TestDocumentsOfEarlierBuild(t *testing.T) {
	eachCommit(t, func(t *testing.T, dir string) {
		request, rows := &wire.RowsRequest{}, &wire.RowsResponse{}
		readMessage(t, filepath.Join(dir, "Rows.request.pb"), request)
		readMessage(t, filepath.Join(dir, "Rows.response.pb"), rows)
		checkRows(t, rows.Rows)
		kept, released := &wire.KeepBatchRequest{}, &wire.ReleaseBatchRequest{}
		readMessage(t, filepath.Join(dir, "KeepBatch.request.pb"), kept)
		readMessage(t, filepath.Join(dir, "ReleaseBatch.request.pb"), released)
		batch := &ledger.Batch{}
		if err := json.Unmarshal(kept.Batch, batch); err != nil || len(batch.Rows) == 0 || batch.Rows[0].RequestID == "" {
			t.Errorf("batch %+v: got error %v, want rows", batch, err)
		}
		if got, want := len(released.Key)-len(batch.Host), len(batch.Key())-len(batch.Host); got < want-1 || got > want+1 {
			t.Errorf("key of a batch: got %q, want the form of %q", released.Key, batch.Key())
		}
	})
}

func checkRows(t *testing.T, rows [][]byte) {
	t.Helper()
	for _, data := range rows {
		var row platform.Row
		if err := decodeStrict(data, &row); err != nil || row.Table == "" || row.Key == "" || row.Version == 0 || len(row.Value) == 0 {
			t.Errorf("row %s: got %+v and error %v, want a complete row", data, row, err)
		}
	}
}

// decodeStrict decodes a JSON document whose fields are all known.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
