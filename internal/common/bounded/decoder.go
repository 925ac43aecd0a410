// Package bounded reads what other parties send within limits of memory.
package bounded

import (
	"encoding/json"
	"errors"
	"io"
)

// ErrTooLong reports that a document, or one value of it, exceeds its limit of bytes.
var ErrTooLong = errors.New("longer than the limit of bytes")

// Decoder decodes a JSON document value by value, so that it doesn't hold the whole document. All
// calls return ErrTooLong once a limit is exceeded.
type Decoder struct {
	*json.Decoder
}

// NewDecoder returns a decoder that reads at most total bytes, and at most about value bytes ahead
// of the end of the last decoded value.
func NewDecoder(r io.Reader, total, value int64) Decoder {
	limited := &valueReader{r: r, total: total, value: value}
	limited.decoder = json.NewDecoder(limited)
	return Decoder{limited.decoder}
}

// valueReader limits how far a decoder reads.
type valueReader struct {
	r            io.Reader
	decoder      *json.Decoder
	total, value int64
	read         int64
}

// maxReadBytes limits one read, so that a decoder is at most that far beyond the limit of a value.
const maxReadBytes = 4 << 10

// Read reads from the underlying reader.
func (v *valueReader) Read(p []byte) (int, error) {
	if v.read >= v.total || v.read-v.decoder.InputOffset() >= v.value {
		return 0, ErrTooLong
	}
	n, err := v.r.Read(p[:min(int64(len(p)), maxReadBytes, v.total-v.read)])
	v.read += int64(n)
	return n, err
}

// Object decodes an object. It calls field for each name, which has to decode the value, until
// field returns true or an error.
func (d Decoder) Object(field func(name string) (end bool, err error)) error {
	if err := d.open('{'); err != nil {
		return err
	}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // Names are strings.
		if end, err := field(name); end || err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// Array decodes an array, or null as an empty one. It calls element for each element, which has to
// decode it, until element returns true or an error. It reports whether element has ended it.
func (d Decoder) Array(element func() (end bool, err error)) (ended bool, err error) {
	if err := d.open('['); err != nil {
		if errors.Is(err, errNull) {
			return false, nil
		}
		return false, err
	}
	for d.More() {
		if end, err := element(); end || err != nil {
			return end, err
		}
	}
	_, err = d.Token()
	return false, err
}

// Skip decodes a value that is not used.
func (d Decoder) Skip() error {
	var value json.RawMessage
	return d.Decode(&value)
}

var (
	errNull      = errors.New("got null")
	errStructure = errors.New("got another kind of value than expected")
)

func (d Decoder) open(delim json.Delim) error {
	token, err := d.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return errNull
	case token != delim:
		return errStructure
	}
	return nil
}
