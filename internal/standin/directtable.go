package standin

import (
	"context"
	"fmt"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Outcome is what a DirectTable makes of one call.
type Outcome int

// The outcomes of a call.
const (
	// Answered carries the call out and answers it.
	Answered Outcome = iota
	// Refused fails the call before any effect.
	Refused
	// AnswerLost carries the call out and loses the answer.
	AnswerLost
	// RequestLost loses the call before any effect, and the caller can't tell.
	RequestLost
)

// DirectTable gives access to a Platform's tables without HTTP. Next chooses
// the outcome of each call; nil means that every call is answered.
type DirectTable struct {
	Platform *Platform
	Next     func() Outcome
}

func (d *DirectTable) outcome() Outcome {
	if d.Next == nil {
		return Answered
	}
	return d.Next()
}

// Get reads one row.
func (d *DirectTable) Get(_ context.Context, table, key string) (platform.Row, bool, error) {
	if d.outcome() != Answered {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	d.Platform.mu.Lock()
	defer d.Platform.mu.Unlock()
	d.Platform.reads++
	row, found := d.Platform.tables[table][key]
	return row, found, nil
}

// Scan reads the rows that s selects.
func (d *DirectTable) Scan(_ context.Context, s platform.Scan) ([]platform.Row, error) {
	if d.outcome() != Answered {
		return nil, platform.ErrUnavailable
	}
	return d.Platform.scan(s), nil
}

// Commit applies a transaction.
func (d *DirectTable) Commit(_ context.Context, tx platform.Transaction) error {
	outcome := d.outcome()
	switch outcome {
	case Refused:
		return platform.ErrUnavailable
	case RequestLost:
		return fmt.Errorf("%w: request lost", platform.ErrUnknownOutcome)
	case Answered, AnswerLost:
	}
	conflict, _ := d.Platform.commit(tx)
	if outcome == AnswerLost {
		return fmt.Errorf("%w: answer lost", platform.ErrUnknownOutcome)
	}
	if conflict != nil {
		return conflict
	}
	return nil
}
