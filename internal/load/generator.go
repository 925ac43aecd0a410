// Package load sends many requests to entry hosts at the same time and checks
// that each answer is whole and belongs to its request. It expects the
// stand-in engines, whose answers follow from the prompt.
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
	maxMicros        = 600_000_000
	significant      = 3
	maxAnswerBytes   = 16 << 20
	bytesPerSentence = 64
)

// Generator sends requests. The exported fields are set before Run.
type Generator struct {
	HTTP  *http.Client
	Clock clock.Clock
	// URLs are the entry hosts, taken in turn.
	URLs []string
	Key  string
	// Model and Version name the model and the weight version expected.
	Model   string
	Version string
	// Requests is the number of requests in all, Concurrency at the same time.
	Requests    int
	Concurrency int
	// Tokens is the length of each answer.
	Tokens int
	// PromptBytes is the length of the part that all prompts share.
	PromptBytes int
	Stream      bool
	// Salt makes prompts of different runs differ.
	Salt string
}

// Result sums up a run. Times are in milliseconds.
type Result struct {
	// Answered counts whole answers to the right request.
	Answered int `json:"answered"`
	// Wrong counts answers that are not whole or belong to another request.
	Wrong int `json:"wrong"`
	// Refused counts requests that did not run, by their answer.
	Refused int `json:"refused"`
	// Failed counts requests that ended in an explicit error.
	Failed        int     `json:"failed"`
	FirstTokenP50 float64 `json:"firstTokenP50Millis"`
	FirstTokenP95 float64 `json:"firstTokenP95Millis"`
	FirstTokenP99 float64 `json:"firstTokenP99Millis"`
	// Example is the first problem seen.
	Example string `json:"example,omitempty"`
}

// outcome is what became of one request.
type outcome int

const (
	answered outcome = iota
	wrong
	refused
	failed
)

type tally struct {
	mu     sync.Mutex
	result Result
	first  *hdrhistogram.Histogram
}

// Run sends all requests and returns when each has ended.
func (g *Generator) Run(ctx context.Context) Result {
	t := &tally{first: hdrhistogram.New(1, maxMicros, significant)}
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
	return t.sum()
}

func (t *tally) add(o outcome, first time.Duration, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch o {
	case answered:
		t.result.Answered++
		_ = t.first.RecordValue(max(1, first.Microseconds()))
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

func (t *tally) sum() Result {
	const microsPerMilli = 1000
	at := func(quantile float64) float64 {
		return float64(t.first.ValueAtQuantile(quantile)) / microsPerMilli
	}
	t.result.FirstTokenP50 = at(50)
	t.result.FirstTokenP95 = at(95)
	t.result.FirstTokenP99 = at(99)
	return t.result
}

// Messages returns the conversation of request n.
func (g *Generator) Messages(n int) []caller.Message {
	shared := strings.Repeat("The batch was checked twice and sealed by the evening shift.  \n\n", g.PromptBytes/bytesPerSentence)
	return []caller.Message{
		{Role: "system", Content: caller.Content(shared)},
		{Role: "user", Content: caller.Content(fmt.Sprintf("question %d %s", n, g.Salt))},
	}
}

func (g *Generator) request(ctx context.Context, n int) (o outcome, first time.Duration, problem string) {
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
		return refusal(response)
	}
	text, first, ended, err := g.read(response.Body, start)
	if err != nil {
		return failed, first, err.Error()
	}
	want := standin.Answer(caller.ChatPrompt(messages), g.Version, g.Tokens)
	if !ended || text != want {
		return wrong, first, fmt.Sprintf("request %d: got %d bytes of %d, ended %t", n, len(text), len(want), ended)
	}
	return answered, first, ""
}

type answerError struct {
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

func refusal(response *http.Response) (outcome, time.Duration, string) {
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

// read gathers an answer. ended tells whether its end was seen; an explicit
// error is returned as err.
func (g *Generator) read(body io.Reader, start time.Time) (text string, first time.Duration, ended bool, err error) {
	if !g.Stream {
		var whole chunk
		if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&whole); err != nil {
			return "", 0, false, nil //nolint:nilerr // A short answer counts as wrong, not as an explicit error.
		}
		return whole.Choices[0].Message.Content, g.Clock.Now().Sub(start), true, nil
	}
	var gathered strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return gathered.String(), first, true, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return gathered.String(), first, false, nil //nolint:nilerr // A broken event counts as wrong.
		}
		if c.Error != nil {
			return gathered.String(), first, false, fmt.Errorf("error event: %s", c.Error.Message)
		}
		if first == 0 {
			first = g.Clock.Now().Sub(start)
		}
		for _, choice := range c.Choices {
			gathered.WriteString(choice.Delta.Content)
		}
	}
	return gathered.String(), first, false, nil
}
