package peer

import (
	"fmt"
	"io"
	"net/http"

	"sassafrasplank.example/sassafrasplank/internal/common/stall"
)

// MaxMessageBytes limits the body of one message from a peer. The longest contains the
// complete copy of a table.
const MaxMessageBytes = 16 << 20

// limitedTransport fails the reading of answers that are longer than MaxMessageBytes.
type limitedTransport struct {
	base http.RoundTripper
}

// RoundTrip sends a request to a peer.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err == nil {
		response.Body = &limitedBody{Reader: stall.Reader(r.Context(), response.Body), Closer: response.Body, left: MaxMessageBytes}
	}
	return response, err
}

// limitedBody is a body that fails after a number of bytes.
type limitedBody struct {
	io.Reader
	io.Closer

	left int
}

// Read reads from the body. It fails once more bytes have come than are allowed.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.left -= n; b.left < 0 {
		return 0, fmt.Errorf("message from a peer is longer than %d bytes", MaxMessageBytes)
	}
	return n, err
}

// limited returns a client whose answers are limited to MaxMessageBytes.
func limited(client *http.Client) *http.Client {
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	return &http.Client{Transport: limitedTransport{base}, Timeout: client.Timeout}
}
