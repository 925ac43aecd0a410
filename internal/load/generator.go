// Package load generates concurrent requests to entry hosts and checks that each
// answer is complete and belongs to its request. It requires the stand-in engines,
// whose answers are determined by the prompt.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/standin"
)

const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	maxAnswerBytes    = 16 << 20
	bytesPerSentence  = 64
)

// Generator sends requests. The exported fields are set before Run.
type Generator struct {
	HTTP  *http.Client
	Clock clock.Clock
	// URLs are the URLs of the entry hosts. The requests alternate between them.
	URLs []string
	// Key is the key of the client account.
	Key string
	// Model is the requested model, Version the expected weight version.
	Model   string
	Version string
	// Requests is the total number of requests, Concurrency the maximum number at the
	// same time.
	Requests    int
	Concurrency int
	// Tokens is the length of each answer in tokens.
	Tokens int
	// PromptBytes is the length in bytes of the text at the start of all prompts,
	// rounded down to a multiple of bytesPerSentence.
	PromptBytes int
	Stream      bool
	// Salt is added to each prompt so that the prompts of different runs differ.
	Salt string
}

// Result is the summary of a run. Times are in milliseconds. For answers that aren't
// streamed, the time to the first token is the time to the complete answer.
type Result struct {
	// Answered counts complete answers that belong to their request.
	Answered int `json:"answered"`
	// Wrong counts answers that are incomplete or belong to another request.
	Wrong int `json:"wrong"`
	// Refused counts requests whose answer says that they did not run.
	Refused int `json:"refused"`
	// Failed counts requests that ended with any other error.
	Failed        int     `json:"failed"`
	FirstTokenP50 float64 `json:"firstTokenP50Millis"`
	FirstTokenP95 float64 `json:"firstTokenP95Millis"`
	FirstTokenP99 float64 `json:"firstTokenP99Millis"`
	// Example describes the first problem of the run.
	Example string `json:"example,omitempty"`
}

// outcome is the outcome of one request.
type outcome int

const (
	answered outcome = iota
	wrong
	refused
	failed
)

// tally collects the outcomes of a run.
type tally struct {
	mu         sync.Mutex
	result     Result
	firstToken *hdrhistogram.Histogram
}

// Run sends all requests and returns when each has ended.
func (g *Generator) Run(ctx context.Context) Result {
	t := &tally{firstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range max(1, g.Concurrency) {
		workers.Go(func() {
			for n := range numbers {
				t.add(g.request(ctx, n))
			}
		})
	}
	for n := range g.Requests {
		numbers <- n
	}
	close(numbers)
	workers.Wait()
	return t.summarize()
}

func (t *tally) add(o outcome, firstToken time.Duration, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch o {
	case answered:
		t.result.Answered++
		_ = t.firstToken.RecordValue(max(1, firstToken.Microseconds()))
	case wrong:
		t.result.Wrong++
	case refused:
		t.result.Refused++
	case failed:
		t.result.Failed++
	}
	if t.result.Example == "" {
		t.result.Example = problem
	}
}

func (t *tally) summarize() Result {
	const microsPerMilli = 1000
	at := func(quantile float64) float64 {
		return float64(t.firstToken.ValueAtQuantile(quantile)) / microsPerMilli
	}
	t.result.FirstTokenP50 = at(50)
	t.result.FirstTokenP95 = at(95)
	t.result.FirstTokenP99 = at(99)
	return t.result
}

// Messages returns the messages of request n.
func (g *Generator) Messages(n int) []caller.Message {
	shared := strings.Repeat("The batch was checked twice and sealed by the evening shift.  \n\n", g.PromptBytes/bytesPerSentence)
	return []caller.Message{
		{Role: "system", Content: caller.Content(shared)},
		{Role: "user", Content: caller.Content(fmt.Sprintf("question %d %s", n, g.Salt))},
	}
}

func (g *Generator) request(ctx context.Context, n int) (o outcome, firstToken time.Duration, problem string) {
	messages := g.Messages(n)
	body, err := json.Marshal(map[string]any{
		"model": g.Model, "messages": messages, "max_tokens": g.Tokens, "stream": g.Stream,
	})
	if err != nil {
		return failed, 0, err.Error()
	}
	url := g.URLs[n%len(g.URLs)] + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return failed, 0, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+g.Key)
	request.Header.Set("Content-Type", "application/json")
	start := g.Clock.Now()
	response, err := g.HTTP.Do(request)
	if err != nil {
		return failed, 0, err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	text, firstToken, ended, err := g.readAnswer(response.Body, start)
	if err != nil {
		return failed, firstToken, err.Error()
	}
	want := standin.Answer(caller.ChatPrompt(messages), g.Version, g.Tokens)
	if !ended || text != want {
		return wrong, firstToken, fmt.Sprintf("request %d: wrong answer: got %d bytes, want %d, ended %t", n, len(text), len(want), ended)
	}
	return answered, firstToken, ""
}

type answerError struct {
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

func readRefusal(response *http.Response) (outcome, time.Duration, string) {
	var body struct {
		Error answerError `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&body)
	problem := fmt.Sprintf("status %d: %s", response.StatusCode, body.Error.Message)
	if body.Error.NotRun {
		return refused, 0, problem
	}
	return failed, 0, problem
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *answerError `json:"error"`
}

// readAnswer reads an answer that began with status 200. ended reports whether its
// end was received. err is the error event of a stream, if any.
func (g *Generator) readAnswer(body io.Reader, start time.Time) (text string, firstToken time.Duration, ended bool, err error) {
	if !g.Stream {
		var answer chunk
		if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer); err != nil {
			return "", 0, false, nil //nolint:nilerr // A truncated answer counts as wrong, not as failed.
		}
		if len(answer.Choices) == 0 {
			return "", 0, false, nil
		}
		return answer.Choices[0].Message.Content, g.Clock.Now().Sub(start), true, nil
	}
	var received strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return received.String(), firstToken, true, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return received.String(), firstToken, false, nil //nolint:nilerr // A malformed event counts as wrong.
		}
		if c.Error != nil {
			return received.String(), firstToken, false, fmt.Errorf("error event: %s", c.Error.Message)
		}
		if firstToken == 0 {
			firstToken = g.Clock.Now().Sub(start)
		}
		for _, choice := range c.Choices {
			received.WriteString(choice.Delta.Content)
		}
	}
	return received.String(), firstToken, false, nil
}
