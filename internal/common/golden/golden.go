// Package golden compares what tests compute with what earlier builds computed. The values of a
// build are in the folder testdata/COMMIT of the package under test.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// captureDir names the environment variable with the folder to which Capture writes.
const captureDir = "SASSAFRASPLANK_GOLDEN_CAPTURE"

// Compare reports differences between the values of this build and those of earlier builds.
func Compare[T any](t *testing.T, file string, commits []string, values []T) {
	t.Helper()
	if Capture(t, file, values) {
		return
	}
	for _, commit := range commits {
		if diff := cmp.Diff(Load[T](t, file, commit), values); diff != "" {
			t.Errorf("%s (-%s +this build):\n%s", file, commit, diff)
		}
	}
}

// Load returns the values of an earlier build.
func Load[T any](t *testing.T, file, commit string) []T {
	t.Helper()
	var values []T
	data, err := os.ReadFile(filepath.Join("testdata", commit, file))
	if err == nil {
		err = json.Unmarshal(data, &values)
	}
	if err != nil || len(values) == 0 {
		t.Fatalf("%s of %s: got %d values and error %v, want some", file, commit, len(values), err)
	}
	return values
}

// Capture writes the values of this build to a file if SASSAFRASPLANK_GOLDEN_CAPTURE names a folder,
// and reports whether it does.
func Capture[T any](t *testing.T, file string, values []T) bool {
	t.Helper()
	dir := os.Getenv(captureDir)
	if dir != "" {
		write(t, dir, file, values)
	}
	return dir != ""
}

// write writes each value to a line of its own.
func write[T any](t *testing.T, dir, file string, values []T) {
	t.Helper()
	var data bytes.Buffer
	separator := "["
	for _, v := range values {
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		data.WriteString(separator + "\n")
		data.Write(line)
		separator = ","
	}
	data.WriteString("\n]\n")
	root, err := os.OpenRoot(dir)
	if err == nil {
		err = root.WriteFile(file, data.Bytes(), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}
