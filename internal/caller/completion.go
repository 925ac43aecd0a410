package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
)

const (
	// defaultMaxTokens limits the length of an answer if the caller sets no limit.
	defaultMaxTokens = 256
	// maxTokensLimit is the highest limit on the length of an answer that a caller may
	// set.
	maxTokensLimit = 128 << 10
)

var noDeadline time.Time

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or an array of text parts.
type Content string

// UnmarshalJSON reads a string, or an array of text parts, which it joins.
func (t *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = Content(text)
		return nil
	}
	var joined strings.Builder
	err := eachElement(data, func(element []byte) error {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if err := json.Unmarshal(element, &part); err != nil {
			return err
		}
		if part.Type != "text" {
			return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "content of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
		return nil
	})
	*t = Content(joined.String())
	return err
}

type chatRequest struct {
	Model               string       `json:"model"`
	Messages            conversation `json:"messages"`
	MaxTokens           int          `json:"max_tokens"`
	MaxCompletionTokens int          `json:"max_completion_tokens"`
	Stream              bool         `json:"stream"`
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// ChatPrompt returns the prompt for a conversation: its messages, one line each. When
// a conversation continues, the new prompt starts with the previous prompt, so that
// the cached blocks of the previous prompt are reused.
func ChatPrompt(messages []Message) string {
	var c conversation
	for i := range messages {
		_ = c.add(&messages[i]) // There is no limit of room.
	}
	return c.prompt.String()
}

func (s *Server) chat(c echo.Context) error {
	data, err := s.readBody(c)
	if err != nil {
		return err
	}
	request := chatRequest{Messages: conversation{takeRoom: promptRoom(c.Request(), len(data))}}
	if err := decode(data, &request); err != nil {
		return err
	}
	if request.Messages.count == 0 {
		return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "messages: at least one message is required")
	}
	maxTokens := request.MaxTokens
	if request.MaxCompletionTokens != 0 {
		maxTokens = request.MaxCompletionTokens
	}
	g := &dispatch.GenerationRequest{
		Account:   accountOf(c),
		Model:     request.Model,
		Prompt:    request.Messages.prompt.String(),
		MaxTokens: maxTokens,
	}
	return s.generate(c, g, request.Stream, chatFormat)
}

func (s *Server) complete(c echo.Context) error {
	data, err := s.readBody(c)
	if err != nil {
		return err
	}
	var request completionRequest
	if err := decode(data, &request); err != nil {
		return err
	}
	if request.Prompt == "" {
		return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "prompt: a text that is not empty is required")
	}
	if err := promptRoom(c.Request(), len(data))(len(request.Prompt)); err != nil {
		return refusalOf(err)
	}
	g := &dispatch.GenerationRequest{
		Account:   accountOf(c),
		Model:     request.Model,
		Prompt:    request.Prompt,
		MaxTokens: request.MaxTokens,
	}
	return s.generate(c, g, request.Stream, textFormat)
}

// generate runs a request and writes its answer, either streamed or complete.
func (s *Server) generate(c echo.Context, g *dispatch.GenerationRequest, stream bool, format answerFormat) error {
	if g.Model == "" {
		return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "model: a name is required")
	}
	if g.MaxTokens == 0 {
		g.MaxTokens = defaultMaxTokens
	}
	if g.MaxTokens < 0 || g.MaxTokens > maxTokensLimit {
		return failure.NotRun(http.StatusBadRequest, failure.BadRequest,
			"max_tokens: want 1 to %d tokens, got %d", maxTokensLimit, g.MaxTokens)
	}
	base := &sinkBase{format: format, model: g.Model, created: s.Clock.Now().Unix(), response: c.Response()}
	base.controller = http.NewResponseController(c.Response().Writer)
	base.writeTimeout = s.Config.StreamIdle.Duration
	base.clock = s.Clock
	if stream {
		sink := &streamSink{sinkBase: base}
		usage, err := s.Dispatcher.Generate(c.Request().Context(), g, sink)
		return sink.end(usage, err)
	}
	sink := &bufferedSink{sinkBase: base}
	usage, err := s.Dispatcher.Generate(c.Request().Context(), g, sink)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, sink.completeAnswer(usage))
}
