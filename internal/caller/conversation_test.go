package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
)

// chatWith posts a body to a server whose bodies take their room from a budget, and returns the answer and the
// prompt that was generated from, empty if there was none.
func chatWith(t *testing.T, budget *bounded.Budget, body string) (status int, text, prompt string) {
	t.Helper()
	d := &promptRecorder{fakeDispatcher: fakeDispatcher{[]string{"a"}, nil}}
	s := &caller.Server{
		Config: config.Default().Callers, Clock: clock.System{}, Records: newFakeRecords(t), Dispatcher: d, Stopping: func() bool { return false }, Ended: t.Context(),
	}
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	caller.WithBodyBudget(s.Handler(), budget, 3).ServeHTTP(w, r)
	return w.Code, w.Body.String(), d.prompt
}

// Messages are decoded one by one. That must make no difference to the prompt.
func TestPromptHasEachMessage(t *testing.T) {
	for _, test := range []struct {
		messages string
		want     []caller.Message
	}{
		{`[{"role":"user","content":"a"}]`, []caller.Message{{Role: "user", Content: "a"}}},
		{" [ {\"role\":\"user\"}\n,\t{ } , null ] ", []caller.Message{{Role: "user"}, {}, {}}},
		{`[{"content":"]},\"\\"},{"content":[{"type":"text","text":"a"},{"type":"text","text":"[b"}]}]`, []caller.Message{{Content: `]},"\`}, {Content: "a[b"}}},
		{`[{"more":[[1,{"a":[]}],-2e3,true],"content":"x"},{"content":"\u00e9<&"}]`, []caller.Message{{Content: "x"}, {Content: "é<&"}}},
	} {
		messages, want := test.messages, test.want
		var plain []caller.Message
		if err := json.Unmarshal([]byte(messages), &plain); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, plain); diff != "" {
			t.Errorf("messages %s (-want +got):\n%s", messages, diff)
		}
		status, text, prompt := chatWith(t, nil, `{"model":"m","messages":`+messages+`}`)
		if diff := cmp.Diff(caller.ChatPrompt(want), prompt); diff != "" || status != http.StatusOK {
			t.Errorf("messages %s: status %d %s; prompt (-want +got):\n%s", messages, status, text, diff)
		}
	}
}

func TestUnusableMessageIsNamed(t *testing.T) {
	for messages, want := range map[string]string{
		`[{"role":"user"},{"role":5}]`:     "messages[1]: ",
		`[{"content":[{"type":"image"}]}]`: "image",
		`{"role":"user"}`:                  "messages",
		`[]`:                               "at least one message",
		`null`:                             "at least one message",
		`[{"role":"user"},`:                "body:1:",
		`[3]`:                              "messages[0]: ",
	} {
		status, text, _ := chatWith(t, nil, `{"model":"m","messages":`+messages+`}`)
		if status != http.StatusBadRequest || !strings.Contains(text, want) {
			t.Errorf("messages %s: got status %d, %s; want 400 and %q", messages, status, text, want)
		}
	}
}

// Many short messages, or characters that are escaped, made a prompt of many times the length of its body, of
// which a few together took more than the memory of a host.
func TestLongPromptOfShortBodyNeedsRoom(t *testing.T) {
	const length = 100_000
	for name, element := range map[string]string{"empty messages": `{},`, "escaped characters": `{"content":"` + strings.Repeat("<", 1000) + `"},`} {
		t.Run(name, func(t *testing.T) {
			body := `{"model":"m","messages":[` + strings.Repeat(element, length/len(element)) + `{}]}`
			budget := &bounded.Budget{Limit: 4 * length}
			if status, text, prompt := chatWith(t, budget, body); status != http.StatusRequestEntityTooLarge || prompt != "" {
				t.Errorf("got status %d with %d bytes, want 413: %s", status, len(prompt), text)
			}
			budget.Limit = 40 * length
			other := bounded.Hold{Budget: budget}
			if !other.Extend(36 * length) {
				t.Fatal("another body found no room")
			}
			if status, text, prompt := chatWith(t, budget, body); status != http.StatusServiceUnavailable || prompt != "" {
				t.Errorf("beside another body: got status %d with %d bytes, want 503: %s", status, len(prompt), text)
			}
			other.Release()
			if status, text, prompt := chatWith(t, budget, body); status != http.StatusOK || len(prompt) < 4*length {
				t.Errorf("with room: got status %d with %d bytes, want 200: %s", status, len(prompt), text)
			}
			if budget.Taken() != 0 {
				t.Errorf("%d bytes are taken after the requests, want 0", budget.Taken())
			}
		})
	}
	ordinary := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("word ", length/5))
	if status, text, _ := chatWith(t, &bounded.Budget{Limit: 4 * length}, ordinary); status != http.StatusOK {
		t.Errorf("ordinary message: got status %d, want 200: %s", status, text)
	}
}

// promptRecorder records the prompt of the last request.
type promptRecorder struct {
	fakeDispatcher

	prompt string
}

func (d *promptRecorder) Generate(ctx context.Context, g *dispatch.GenerationRequest, sink dispatch.Sink) (dispatch.Usage, error) {
	d.prompt = g.Prompt
	return d.fakeDispatcher.Generate(ctx, g, sink)
}
