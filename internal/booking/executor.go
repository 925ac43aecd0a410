package booking

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/common/wait"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	tableBooking = "booking"
	// maxClaimAttempts limits the attempts to insert the record of a key or to take it
	// over. An attempt is repeated if the table service doesn't confirm it.
	maxClaimAttempts = 4
	// maxSettleAttempts limits the further attempts to record an outcome.
	maxSettleAttempts = 20
	settleRetryDelay  = 250 * time.Millisecond
	// followPollInterval is the time between two reads of another attempt's record.
	followPollInterval = 100 * time.Millisecond
	// followTimeout is how long a caller waits for the outcome of another attempt.
	followTimeout = 10 * time.Second
	// sendTimeout is how long after the start of its claim a call may still be sent.
	sendTimeout = 5 * time.Second
)

// TableProvider is the subset of the table service that bookings use.
type TableProvider interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Scan(ctx context.Context, s platform.Scan) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) error
}

// CallFunc sends a call to a plain service. Its errors are *failure.Error.
type CallFunc func(ctx context.Context) (target.ServiceAnswer, error)

// Executor runs each booking at most once. The exported fields are set before the
// first call.
type Executor struct {
	Host  string
	Table TableProvider
	Clock clock.Clock
	Log   *log.Logger
	// KeepFor is how long a record is valid after it was claimed.
	KeepFor time.Duration
	// IsOwner reports whether this host owns a name.
	IsOwner func(name string) bool

	pendingSettles wait.Tasks
}

// Drain waits until all outcomes are recorded or ctx ends.
func (e *Executor) Drain(ctx context.Context) error { return e.pendingSettles.Wait(ctx) }

// Request identifies a booking. Account, Service and Key determine its record.
type Request struct {
	Account string
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Content is the method, path and body. Requests with the same key must have the
	// same content.
	Content []byte
}

func (r *Request) rowKey() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(r.Account), r.Account, len(r.Service), r.Service, r.Key))
	return r.Account + "/" + r.Service + "/" + hex.EncodeToString(sum[:])
}

func (r *Request) contentHash() string {
	sum := sha256.Sum256(r.Content)
	return hex.EncodeToString(sum[:])
}

// claim is the record of a key that this attempt has inserted or taken over.
type claim struct {
	key       string
	version   int64
	record    Record
	claimedAt time.Time
}

// outcome is the answer to a call, its error, or the value with which it panicked.
type outcome struct {
	answer   target.ServiceAnswer
	err      error
	panicked any
}

// Book runs the call at most once for the request's key and returns its
// recorded outcome to every caller with that key. If ctx ends first, the outcome is
// still recorded. Errors are *failure.Error.
func (e *Executor) Book(ctx context.Context, r *Request, call CallFunc) (target.ServiceAnswer, error) {
	claimed, existing, err := e.claim(ctx, r)
	if err != nil {
		return target.ServiceAnswer{}, err
	}
	if claimed == nil {
		return e.follow(ctx, r, existing)
	}
	settled := make(chan outcome, 1)
	go func() { settled <- e.run(context.WithoutCancel(ctx), claimed, call) }()
	select {
	case o := <-settled:
		if o.panicked != nil {
			panic(o.panicked) // The server of the caller handles it.
		}
		return o.answer, o.err
	case <-ctx.Done():
		e.pendingSettles.Go(func() {
			if o := <-settled; o.panicked != nil {
				e.Log.Error().Str("part", "booking").Str("key", claimed.key).Any("panic", o.panicked).
					Msg("booking: the call panicked after its caller was answered; the record stays started until it expires")
			}
		})
		return target.ServiceAnswer{}, failure.MaybeRun(failure.MayHaveRun, "the outcome of the booking is not known yet: %v", ctx.Err())
	}
}

// run makes the call and records its outcome.
func (e *Executor) run(ctx context.Context, claimed *claim, call CallFunc) (o outcome) {
	defer func() { o.panicked = recover() }()
	// A suspended host may resume long after its claim.
	if e.Clock.Now().Sub(claimed.claimedAt) > sendTimeout {
		o.err = failure.Busy(failure.BookingsDown, time.Second, "the booking was not sent in time after it was recorded")
	} else {
		o.answer, o.err = call(ctx)
	}
	e.settle(claimed, o.answer, o.err)
	return o
}

// claim inserts or takes over the record of the key before the call. If the record
// of another attempt may not be taken over, claim returns that record instead.
func (e *Executor) claim(ctx context.Context, r *Request) (*claim, *Record, error) {
	now := e.Clock.Now().UTC()
	claimed := &claim{key: r.rowKey(), claimedAt: now, record: Record{
		State:       StateStarted,
		Nonce:       rand.Text(),
		ContentHash: r.contentHash(),
		Host:        e.Host,
		Started:     now,
		Expires:     now.Add(e.KeepFor),
	}}
	var version int64
	var lastErr error
	for range maxClaimAttempts {
		err := e.write(ctx, claimed.key, version, &claimed.record)
		if err == nil {
			claimed.version = version + 1
			return claimed, nil, nil
		}
		lastErr = err
		row, record, err := e.read(ctx, claimed.key)
		if err != nil {
			lastErr = err
			continue
		}
		if record == nil {
			version = 0
			continue
		}
		if record.Nonce == claimed.record.Nonce {
			claimed.version = row.Version
			return claimed, nil, nil
		}
		if !e.canTakeOver(now, record) {
			return nil, record, nil
		}
		version = row.Version
	}
	return nil, nil, failure.Busy(failure.BookingsDown, time.Second, "the booking can't be recorded now: %v", lastErr)
}

// canTakeOver reports whether a record may be taken over. It may if its call is
// known not to have run or if it has expired.
func (e *Executor) canTakeOver(now time.Time, record *Record) bool {
	return record.State == StateNotRun || now.After(record.Expires)
}

// follow waits for the outcome of another attempt with the same key and returns it.
func (e *Executor) follow(ctx context.Context, r *Request, record *Record) (target.ServiceAnswer, error) {
	if record.ContentHash != r.contentHash() {
		return target.ServiceAnswer{}, failure.NotRun(http.StatusUnprocessableEntity, failure.KeyReused,
			"the idempotency key was used for another request")
	}
	deadline := e.Clock.Now().Add(followTimeout)
	for record != nil && record.State == StateStarted && e.Clock.Now().Before(deadline) {
		if clock.Sleep(ctx, e.Clock, followPollInterval) != nil {
			break
		}
		if _, latest, err := e.read(ctx, r.rowKey()); err == nil {
			record = latest
		}
	}
	switch {
	case record != nil && record.State == StateDone:
		return record.Answer, nil
	case record != nil && record.State == StateNotRun:
		return target.ServiceAnswer{}, failure.Busy(failure.NoTarget, time.Second, "the booking did not run")
	default:
		return target.ServiceAnswer{}, failure.MaybeRun(failure.MayHaveRun, "an earlier attempt with this idempotency key may have run")
	}
}

// settle records the outcome of a call. The first attempt is made before the caller
// is answered, further attempts in the background. If none succeeds, the record stays
// in StateStarted, and requests with the key get failure.MayHaveRun until it expires.
func (e *Executor) settle(claimed *claim, answer target.ServiceAnswer, err error) {
	claimed.record.State = StateDone
	claimed.record.Answer = answer
	if err != nil {
		claimed.record.State = StateUnknown
		claimed.record.Answer = target.ServiceAnswer{}
		if failure.From(err).NotRun {
			claimed.record.State = StateNotRun
		}
	}
	if e.trySettle(claimed) {
		return
	}
	e.pendingSettles.Go(func() {
		for range maxSettleAttempts {
			<-e.Clock.After(settleRetryDelay)
			if e.trySettle(claimed) {
				return
			}
		}
		e.Log.Error().Str("part", "booking").Str("key", claimed.key).Str("state", string(claimed.record.State)).
			Msg("booking: all attempts to record the outcome failed; the record stays started until it expires")
	})
}

// trySettle writes the outcome once and reports whether it is recorded. A conflict
// means that an earlier attempt has written it.
func (e *Executor) trySettle(claimed *claim) bool {
	err := e.write(context.Background(), claimed.key, claimed.version, &claimed.record)
	return err == nil || platform.IsConflict(err)
}

func (e *Executor) write(ctx context.Context, key string, version int64, record *Record) error {
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encoding booking: %w", err)
	}
	return e.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: tableBooking, Key: key, Version: version}},
		Writes:     []platform.Write{{Table: tableBooking, Key: key, Value: data}},
	})
}

func (e *Executor) read(ctx context.Context, key string) (platform.Row, *Record, error) {
	row, found, err := e.Table.Get(ctx, tableBooking, key)
	if err != nil || !found {
		return row, nil, err
	}
	record := &Record{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return row, nil, errors.Join(fmt.Errorf("decoding booking %s", key), err)
	}
	return row, record, nil
}
