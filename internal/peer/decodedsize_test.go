package peer

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// Entries of two bytes took a hundred times their bytes when they were decoded, in a message of legal length.
func TestDecodedBytesCountEntries(t *testing.T) {
	const path, n = "/twirp/sassafrasplank.peer.Peer/", 1000
	field := func(number protowire.Number, content string) string {
		return string(protowire.AppendString(protowire.AppendTag(nil, number, protowire.BytesType), content))
	}
	for name, test := range map[string]struct {
		call, message string
		least, most   int64
	}{
		"empty entries":             {"Exchange", strings.Repeat(field(3, ""), n), n * entryBytes, n * entryBytes},
		"entries of an entry":       {"Exchange", field(2, field(7, strings.Repeat(field(4, ""), n))), n * entryBytes, (n + 2) * entryBytes},
		"numbers in a list":         {"CollectLoads", field(3, field(6, strings.Repeat("\x00", n))), n * numberBytes, n*numberBytes + 2*entryBytes},
		"unknown field":             {"Exchange", field(3000, strings.Repeat("x", n)), 0, numberBytes},
		"call that doesn't exist":   {"Nothing", strings.Repeat(field(3, ""), n), 0, 0},
		"bytes that are no message": {"Exchange", strings.Repeat("\xff", n), 0, 0},
		"cut entry":                 {"Exchange", "\x1a\x05x", 0, 0},
	} {
		if got := DecodedBytes(path+test.call, []byte(test.message)); got < test.least || got > test.most {
			t.Errorf("%s: got %d bytes, want %d to %d", name, got, test.least, test.most)
		}
	}
}

// Messages of hosts must be far below what a host with little memory has room for.
func TestDecodedBytesOfLongReport(t *testing.T) {
	g := &wire.ExchangeRequest{Report: (&Report{Loads: (&environment{targets: 64}).PeerLoads()}).encode()}
	for range updatesPerMessage {
		g.Updates = append(g.Updates, &wire.Member{Name: "edge-khabourah-49", Url: "http://10.5.0.49:7701", FailureDomain: "khabourah", Incarnation: 1})
	}
	message, err := proto.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	if n := DecodedBytes("/twirp/sassafrasplank.peer.Peer/Exchange", message); n > 64<<10 {
		t.Errorf("a report with 64 loads and %d updates takes %d bytes, want at most 64 KiB", updatesPerMessage, n)
	}
}
