package config_test

import (
	"errors"
	"testing"

	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// FuzzDecode checks that any file is either decoded or rejected with findings that
// have a place and a message.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"host":"a","failureDomain":"b"}`, `{"callers":{"headerTimeout":"1s"}}`, `{"peers":[]}`, `[1]`, `{"host":`, `{"stopWithin":"-1s"}`,
		"{\n// c\n\"operators\":{\"keys\":[{\"name\":1}]}}", `{"admission":{"fillFactor":1e400}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := config.Decode("fuzz", data)
		var found *finding.Error
		if err != nil && !errors.As(err, &found) {
			t.Errorf("error without findings: %v", err)
		}
		if found == nil {
			return
		}
		for _, f := range found.Findings {
			if f.Place.Source != "fuzz" || f.Message == "" {
				t.Errorf("finding without place or message: %+v", f)
			}
		}
	})
}
