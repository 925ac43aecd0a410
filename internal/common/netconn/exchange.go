package netconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrStatus reports a response whose status isn't one that ends an exchange in HTTP.
var ErrStatus = errors.New("want a status from 200 to 599")

// RoundTrip sends a request. If the status of the response isn't from 200 to 599, it returns an error
// that wraps ErrStatus. net/http accepts any three characters that are a number, and 101 changes the
// protocol, which no request asks for.
//
// If the end of the response is that of its connection, its body returns io.ErrUnexpectedEOF unless the
// whole request was written by then: a peer that resets the connection during an upload may close its
// side before, or the system may report the reset to the writing side only.
func RoundTrip(transport *http.Transport, r *http.Request) (*http.Response, error) {
	w := &written{done: make(chan struct{})}
	response, err := transport.RoundTrip(r.WithContext(w.trace(r.Context())))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w, got %q", ErrStatus, response.Status)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, request: w}
	}
	return response, nil
}

const maxStatus = 599

// written records whether a request was written completely.
type written struct {
	mu sync.Mutex
	// done is closed once the request is written over the last connection that was tried, and err
	// is set if that failed.
	done chan struct{}
	err  error
}

func (w *written) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.done, w.err = make(chan struct{}), nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.err = info.Err
			select {
			case <-w.done: // A write over an earlier connection ended late.
			default:
				close(w.done)
			}
		},
	})
}

// wait waits at most writeWait for the end of the request, and reports whether it was written.
func (w *written) wait() bool {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	select {
	case <-done:
	case <-time.After(writeWait):
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err == nil
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser

	request *written
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.request.wait() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
