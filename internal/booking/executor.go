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
	"sync"
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
	// claimTries bounds the tries to insert a record whose answer was lost.
	claimTries = 4
	// settleTries bounds the tries to record an outcome.
	settleTries = 20
	settlePause = 250 * time.Millisecond
	// followPause is the time between two looks at another host's attempt.
	followPause = 100 * time.Millisecond
	// followFor is how long a caller waits for another host's attempt.
	followFor = 10 * time.Second
	// sendWithin is how long after its claim an attempt may still be sent.
	sendWithin = 5 * time.Second
)

// TableProvider is the part of the table service that bookings need.
type TableProvider interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Scan(ctx context.Context, s platform.Scan) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) error
}

// CallFunc sends a call to a plain service. Its errors are *failure.Error.
type CallFunc func(ctx context.Context) (target.ServiceAnswer, error)

// Executor runs bookings. The exported fields are set before the first call.
type Executor struct {
	Host    string
	Table   TableProvider
	Clock   clock.Clock
	Log     *log.Logger
	KeepFor time.Duration
	// IsOwner reports whether this host is the one to look after a name.
	IsOwner func(name string) bool

	settling sync.WaitGroup
}

// Drain waits until all outcomes are recorded or ctx ends.
func (d *Executor) Drain(ctx context.Context) error { return wait.Group(ctx, &d.settling) }

// Request names one booking.
type Request struct {
	Account string
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Content is all that makes two requests the same: method, path and body.
	Content []byte
}

func (r *Request) rowKey() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(r.Account), r.Account, len(r.Service), r.Service, r.Key))
	return r.Account + "/" + r.Service + "/" + hex.EncodeToString(sum[:])
}

func (r *Request) bodyHash() string {
	sum := sha256.Sum256(r.Content)
	return hex.EncodeToString(sum[:])
}

// claim is an attempt's hold on the record of a key.
type claim struct {
	key     string
	version int64
	record  Record
	at      time.Time
}

// Book sends the call at most once for the request's key and returns its
// recorded outcome to every caller with that key. Errors are *failure.Error.
func (d *Executor) Book(ctx context.Context, r *Request, call CallFunc) (target.ServiceAnswer, error) {
	held, other, err := d.claim(ctx, r)
	if err != nil {
		return target.ServiceAnswer{}, err
	}
	if held == nil {
		return d.follow(ctx, r, other)
	}
	// A paused host may wake up long after its claim.
	if d.Clock.Now().Sub(held.at) > sendWithin {
		err = failure.Busy(failure.BookingsDown, time.Second, "the booking was claimed too long ago to be sent")
	}
	var answer target.ServiceAnswer
	if err == nil {
		// The outcome counts even when the caller has gone away.
		answer, err = call(context.WithoutCancel(ctx))
	}
	d.settle(held, answer, err)
	return answer, err
}

// claim inserts the record of the key before the call. It returns the record
// of another attempt when there is one that may not be taken over.
func (d *Executor) claim(ctx context.Context, r *Request) (*claim, *Record, error) {
	now := d.Clock.Now().UTC()
	held := &claim{key: r.rowKey(), at: now, record: Record{
		State:    StateStarted,
		Nonce:    rand.Text(),
		BodyHash: r.bodyHash(),
		Host:     d.Host,
		Started:  now,
		Expires:  now.Add(d.KeepFor),
	}}
	var version int64
	var last error
	for range claimTries {
		err := d.write(ctx, held.key, version, &held.record)
		if err == nil {
			held.version = version + 1
			return held, nil, nil
		}
		last = err
		row, record, err := d.read(ctx, held.key)
		if err != nil {
			last = err
			continue
		}
		if record == nil {
			version = 0
			continue
		}
		if record.Nonce == held.record.Nonce {
			held.version = row.Version
			return held, nil, nil
		}
		if !d.free(now, record) {
			return nil, record, nil
		}
		version = row.Version
	}
	return nil, nil, failure.Busy(failure.BookingsDown, time.Second, "the booking can't be recorded now: %v", last)
}

// free reports whether a record may be taken over: its call is known not to
// have run, or it has expired.
func (d *Executor) free(now time.Time, record *Record) bool {
	return record.State == StateNotRun || now.After(record.Expires)
}

// follow answers a caller whose key belongs to another attempt.
func (d *Executor) follow(ctx context.Context, r *Request, record *Record) (target.ServiceAnswer, error) {
	if record.BodyHash != r.bodyHash() {
		return target.ServiceAnswer{}, failure.NotRun(http.StatusUnprocessableEntity, failure.KeyReused,
			"the idempotency key was used for another request")
	}
	until := d.Clock.Now().Add(followFor)
	for record != nil && record.State == StateStarted && d.Clock.Now().Before(until) {
		if clock.Sleep(ctx, d.Clock, followPause) != nil {
			break
		}
		if _, latest, err := d.read(ctx, r.rowKey()); err == nil {
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

// settle records the outcome of a call. The first try is made before the
// caller is answered, the others behind it. Without a record the key stays
// "may have run".
func (d *Executor) settle(held *claim, answer target.ServiceAnswer, err error) {
	held.record.State = StateDone
	held.record.Answer = answer
	if err != nil {
		held.record.State = StateUnknown
		held.record.Answer = target.ServiceAnswer{}
		if failure.From(err).NotRun {
			held.record.State = StateNotRun
		}
	}
	if d.settled(held) {
		return
	}
	d.settling.Go(func() {
		for range settleTries {
			<-d.Clock.After(settlePause)
			if d.settled(held) {
				return
			}
		}
		d.Log.Error().Str("part", "booking").Str("key", held.key).Str("state", string(held.record.State)).
			Msg("booking: outcome is not recorded")
	})
}

// settled tries to write the outcome. A conflict means that a former try has
// written it.
func (d *Executor) settled(held *claim) bool {
	err := d.write(context.Background(), held.key, held.version, &held.record)
	return err == nil || platform.IsConflict(err)
}

func (d *Executor) write(ctx context.Context, key string, version int64, record *Record) error {
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encoding booking: %w", err)
	}
	return d.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: tableBooking, Key: key, Version: version}},
		Writes:     []platform.Write{{Table: tableBooking, Key: key, Value: data}},
	})
}

func (d *Executor) read(ctx context.Context, key string) (platform.Row, *Record, error) {
	row, found, err := d.Table.Get(ctx, tableBooking, key)
	if err != nil || !found {
		return row, nil, err
	}
	record := &Record{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return row, nil, errors.Join(fmt.Errorf("decoding booking %s", key), err)
	}
	return row, record, nil
}
