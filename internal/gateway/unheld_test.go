package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// unheld is an answer of which the host has room for the beginning only.
func unheld(status int, beginning, rest string, restErr error) step {
	return func(context.Context, *gateway.Call) (gateway.Reply, error) {
		return &fakeReply{status: status, body: beginning, unheld: true, rest: rest, restErr: restErr}, nil
	}
}

// An answer that the host has no room for must not be lost, look complete too early, or be followed by another one.
func TestAnswerThatIsNotHeldIsPassedOn(t *testing.T) {
	lost := &gateway.BrokenError{Sent: true, Lost: true, Err: errors.New("reset")}
	type outcome struct {
		Status, Calls, Rows int
		Body                string
		Aborted             bool
	}
	for name, test := range map[string]struct {
		script []step
		want   outcome
	}{
		"complete":         {[]step{unheld(http.StatusOK, "a long ", "answer", nil)}, outcome{http.StatusOK, 1, 1, "a long answer", false}},
		"ends at the room": {[]step{unheld(http.StatusOK, "answer", "", nil), answer(http.StatusOK, "other")}, outcome{http.StatusOK, 1, 1, "answer", false}},
		"broken":           {[]step{unheld(http.StatusOK, "a long ", "ans", lost), answer(http.StatusOK, "other")}, outcome{http.StatusOK, 1, 0, "a long ans", true}},
		"failure":          {[]step{unheld(http.StatusInternalServerError, "a long ", "failure", nil), answer(http.StatusOK, "other")}, outcome{http.StatusOK, 2, 1, "other", false}},
		"last failure":     {[]step{unheld(http.StatusInternalServerError, "a long ", "failure", nil)}, outcome{http.StatusInternalServerError, 2, 1, "a long failure", false}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.script...)
			s := f.serve(request(routing.Idempotent, 2))
			if diff := cmp.Diff(test.want, outcome{s.status, len(f.targets.calls), len(f.ledger.rows), s.body, s.aborted}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
