package record_test

import (
	"testing"

	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// FuzzDecodeFile checks that decoding an arbitrary file returns records or findings,
// and that each accepted record can be added to a set.
func FuzzDecodeFile(f *testing.F) {
	seeds := []string{
		`{"kind":"model","schema":1,"name":"letters","spec":{"contextTokens":10}}`,
		`[{"kind":"clientAccount","schema":1,"name":"a","spec":{"keyHashes":[],"weight":1}}, // comment
		]`,
		`{"kind":"target","schema":1,"name":"e","spec":{"kind":"engine","url":"http://x","models":["m"]}}`,
		`{"kind":"rule","schema":1,"name":"r","spec":null}`, `[[]]`, `{"kind":7}`, ``, `{`, `"x"`, `{"spec":{"a":{"b":[1,{"c":2}]}}}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		records, findings := record.DecodeFile("fuzz", data)
		for _, found := range findings {
			if found.Place.Source == "" || found.Message == "" {
				t.Errorf("finding without place or message: %+v", found)
			}
		}
		for _, r := range records {
			set, found := record.NewSet().With(1, []record.Change{{Record: r}})
			if len(found) > 0 || len(set.Records) != 1 {
				t.Errorf("record %s was accepted but could not be added to a set: %v", r.Key(), found)
			}
		}
	})
}
