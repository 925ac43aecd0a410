package entry

import (
	"bytes"
	stdlog "log"

	"github.com/phuslu/log"
)

// serverErrors returns a logger for errors of an HTTP server, such as a handler that panics. The
// caller of such a handler gets no answer.
func serverErrors(logger *log.Logger) *stdlog.Logger {
	return stdlog.New(&serverErrorWriter{logger}, "", 0)
}

type serverErrorWriter struct {
	log *log.Logger
}

// maxServerErrorBytes limits the text of one error, which may contain a stack.
const maxServerErrorBytes = 4 << 10

// Write logs one error.
func (w *serverErrorWriter) Write(text []byte) (int, error) {
	shown := bytes.TrimSpace(text[:min(len(text), maxServerErrorBytes)])
	w.log.Error().Str("part", "entry").Bytes("error", shown).Msg("entry: HTTP server failed to serve a connection")
	return len(text), nil
}
