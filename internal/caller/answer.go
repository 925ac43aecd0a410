package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
)

// answerFormat describes how the answers to chat completions and to text
// completions differ.
type answerFormat struct {
	idPrefix     string
	object       string
	streamObject string
	// prefix and suffix enclose the text of a token in a stream.
	prefix string
	suffix string
	chat   bool
}

var (
	chatFormat = answerFormat{
		idPrefix: "chatcmpl-", object: "chat.completion", streamObject: "chat.completion.chunk",
		prefix: `"delta":{"content":`, suffix: `}`, chat: true,
	}
	textFormat = answerFormat{
		idPrefix: "cmpl-", object: "text_completion", streamObject: "text_completion",
		prefix: `"text":`,
	}
)

// sinkBase has what streamSink and bufferedSink have in common.
type sinkBase struct {
	format       answerFormat
	model        string
	created      int64
	id           string
	version      string
	response     *echo.Response
	controller   *http.ResponseController
	clock        clock.Clock
	writeTimeout time.Duration
}

// streamSink writes an answer as server-sent events.
type streamSink struct {
	*sinkBase
	// head is the part of a token's event before its text. It is the same for all
	// tokens.
	head []byte
	// line is the buffer in which each event is assembled.
	line []byte
	// begun is set once the response header is written.
	begun bool
}

// Begin writes the response header.
func (s *streamSink) Begin(requestID, version string) error {
	s.begun = true
	s.id, s.version = requestID, version
	header := s.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Request-Id", requestID)
	s.response.WriteHeader(http.StatusOK)
	model, err := json.Marshal(s.model)
	if err != nil {
		return err
	}
	head := `data: {"id":"` + s.format.idPrefix + requestID + `","object":"` + s.format.streamObject +
		`","created":` + strconv.FormatInt(s.created, 10) + `,"model":` + string(model) +
		`,"choices":[{"index":0,` + s.format.prefix
	s.head = []byte(head)
	return nil
}

// Token writes one token as an event.
func (s *streamSink) Token(text string) error {
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	s.line = append(s.line[:0], s.head...)
	s.line = append(s.line, quoted...)
	s.line = append(s.line, s.format.suffix...)
	s.line = append(s.line, `,"finish_reason":null}]}`...)
	s.line = append(s.line, '\n', '\n')
	s.extendDeadline() // A full buffer is written without a flush.
	_, err = s.response.Write(s.line)
	return err
}

// Flush sends the written events to the caller.
func (s *streamSink) Flush() error {
	s.extendDeadline()
	return s.controller.Flush()
}

// extendDeadline gives the caller the write timeout anew.
func (s *streamSink) extendDeadline() {
	_ = s.controller.SetWriteDeadline(s.clock.Now().Add(s.writeTimeout))
}

// end writes the last events: the finish reason and the end mark, or an error, after
// which it aborts the response, so that the stream doesn't look complete. An error that
// occurs before Begin is returned, so that the error handler writes it.
func (s *streamSink) end(usage dispatch.Usage, err error) error {
	if err != nil && !s.begun {
		return err
	}
	if err != nil {
		body, marshalErr := json.Marshal(newErrorBody(failure.From(err)))
		if marshalErr != nil {
			return marshalErr
		}
		_ = s.event(body) // The caller may have disconnected.
		panic(http.ErrAbortHandler)
	}
	last, err := json.Marshal(s.lastChunk(usage))
	if err != nil {
		return err
	}
	if err := s.event(last); err != nil {
		return err
	}
	return s.event([]byte("[DONE]"))
}

func (s *streamSink) event(data []byte) error {
	s.line = append(s.line[:0], "data: "...)
	s.line = append(s.line, data...)
	s.line = append(s.line, '\n', '\n')
	if _, err := s.response.Write(s.line); err != nil {
		return err
	}
	return s.Flush()
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type choiceBody struct {
	Index        int       `json:"index"`
	Message      *Message  `json:"message,omitempty"`
	Text         *string   `json:"text,omitempty"`
	Delta        *struct{} `json:"delta,omitempty"`
	FinishReason string    `json:"finish_reason"`
}

type answerBody struct {
	ID            string       `json:"id"`
	Object        string       `json:"object"`
	Created       int64        `json:"created"`
	Model         string       `json:"model"`
	WeightVersion string       `json:"weight_version"`
	Choices       []choiceBody `json:"choices"`
	Usage         usageBody    `json:"usage"`
}

func (b *sinkBase) body(object string, usage dispatch.Usage, choice choiceBody) answerBody {
	return answerBody{
		ID:            b.format.idPrefix + usage.RequestID,
		Object:        object,
		Created:       b.created,
		Model:         b.model,
		WeightVersion: usage.Version,
		Choices:       []choiceBody{choice},
		Usage: usageBody{
			PromptTokens:     usage.PromptTokens,
			CompletionTokens: usage.AnswerTokens,
			TotalTokens:      usage.PromptTokens + usage.AnswerTokens,
			CachedTokens:     usage.ReusedTokens,
		},
	}
}

func (b *sinkBase) lastChunk(usage dispatch.Usage) answerBody {
	choice := choiceBody{FinishReason: usage.FinishReason}
	if b.format.chat {
		choice.Delta = &struct{}{}
	} else {
		choice.Text = new(string)
	}
	return b.body(b.format.streamObject, usage, choice)
}

// bufferedSink collects a complete answer.
type bufferedSink struct {
	*sinkBase
	text strings.Builder
}

// Begin sets the header with the request ID.
func (s *bufferedSink) Begin(requestID, version string) error {
	s.id, s.version = requestID, version
	s.response.Header().Set("X-Request-Id", requestID)
	return nil
}

// Token appends the next token.
func (s *bufferedSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// Flush does nothing, because the answer is written when it is complete.
func (s *bufferedSink) Flush() error { return nil }

func (s *bufferedSink) completeAnswer(usage dispatch.Usage) answerBody {
	choice := choiceBody{FinishReason: usage.FinishReason}
	text := s.text.String()
	if s.format.chat {
		choice.Message = &Message{Role: "assistant", Content: Content(text)}
	} else {
		choice.Text = &text
	}
	return s.body(s.format.object, usage, choice)
}
