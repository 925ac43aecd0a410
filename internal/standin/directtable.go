package standin

import (
	"context"
	"fmt"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Outcome is the outcome of one call to a DirectTable. A read fails with
// ErrUnavailable for every outcome but Answered.
type Outcome int

// Outcomes of a call.
const (
	// Answered executes the call and returns its result.
	Answered Outcome = iota
	// Refused fails the call before it takes effect.
	Refused
	// AnswerLost executes the call and fails it with an unknown outcome.
	AnswerLost
	// RequestLost fails the call with an unknown outcome, without any effect.
	RequestLost
)

// DirectTable gives access to the tables of a Platform without HTTP. Next chooses
// the outcome of each call. A nil Next means that every call is answered.
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

// Era returns 0, since the table is never restored from an older copy.
func (d *DirectTable) Era() int64 { return 0 }

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
