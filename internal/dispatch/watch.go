package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// maxConcurrentPolls is the maximum number of targets polled at the same time.
const maxConcurrentPolls = 16

// serviceSlots is the number of calls that one target of a plain service is
// assumed to run at the same time.
const serviceSlots = 64

func (d *Dispatcher) targetNames(set *record.Set) []string {
	return slices.Sorted(maps.Keys(set.Targets))
}

// applyRecords updates the placer with the targets and store hosts of the
// records. The lock must be held.
func (d *Dispatcher) applyRecords(now time.Time, set *record.Set) {
	var engines []placement.EngineSpec
	for _, name := range d.targetNames(set) {
		engines = append(engines, engineSpec(name, set.Targets[name]))
	}
	d.placer.SetEngines(now, engines)
	d.pools = poolNames(set)
	var links []placement.LinkSpec
	for _, name := range slices.Sorted(maps.Keys(set.Stores)) {
		links = append(links, placement.LinkSpec{Store: name, BytesPerSecond: set.Stores[name].LinkBytesPerSecond})
	}
	d.placer.SetLinks(links)
}

// liftRefusals removes the suspects whose refusal an operator has deleted. The
// lock must be held.
func (d *Dispatcher) liftRefusals(now time.Time, set *record.Set) {
	for fingerprint := range d.applied.Refusals {
		if set.Refusals[fingerprint] == nil {
			d.suspects.Lift(now, fingerprint)
		}
	}
}

func engineSpec(name string, t *record.Target) placement.EngineSpec {
	spec := placement.EngineSpec{
		Name:          name,
		FailureDomain: t.FailureDomain,
		Models:        t.Models,
		Slots:         t.Slots,
		PrefillRate:   t.PrefillTokensPerSecond,
		TokenGap:      time.Duration(t.TokenGapMillis * float64(time.Millisecond)),
	}
	if t.Kind == record.TargetService {
		spec.Models = []string{servicePrefix + t.Service}
		spec.Slots = serviceSlots
		spec.PrefillRate = 1
	}
	return spec
}

// pollLoads polls every engine for its load. Targets of plain services are not
// polled: it applies a report without load to them.
func (d *Dispatcher) pollLoads(ctx context.Context) {
	d.refresh(ctx)
	set := d.Records.Current()
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, name := range d.targetNames(set) {
		group.Go(func() error {
			d.pollLoad(ctx, name, set.Targets[name])
			return nil
		})
	}
	_ = group.Wait()
	if set.Revision > 0 {
		d.polled.Store(true)
	}
}

// TargetsPolled reports whether the engines of the records have been polled for
// their load at least once.
func (d *Dispatcher) TargetsPolled() bool { return d.polled.Load() }

func (d *Dispatcher) pollLoad(ctx context.Context, name string, t *record.Target) {
	report := placement.LoadReport{Versions: []string{serviceVersion}}
	if t.Kind == record.TargetEngine {
		load, err := d.Targets.Load(ctx, t.URL)
		if err != nil {
			d.loadFailed(name, err)
			return
		}
		report = placement.LoadReport{
			Running:     load.Running,
			Waiting:     load.Waiting,
			Versions:    load.Versions,
			Leaving:     load.Leaving,
			Incarnation: load.Incarnation,
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ApplyReport(d.Clock.Now(), name, report)
}

// loadFailed marks a target as unreachable if the poll could not be sent to it. A
// target that received the poll but did not answer in time may only be slow.
func (d *Dispatcher) loadFailed(name string, err error) {
	var broken *target.BrokenError
	if !errors.As(err, &broken) || broken.Sent {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.MarkUnreachable(name)
}

// TargetLeaving records that the host list shows a target as leaving.
func (d *Dispatcher) TargetLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.MarkLeaving(d.Clock.Now(), name)
}

// cacheCursor is the position up to which the cache events of one target have
// been read.
type cacheCursor struct {
	incarnation int64
	sequence    int64
}

// newCacheEventPoller returns a task that reads the cache events of all
// engines.
func (d *Dispatcher) newCacheEventPoller() func(context.Context) {
	cursors := map[string]*cacheCursor{}
	return func(ctx context.Context) {
		set := d.Records.Current()
		var group errgroup.Group
		group.SetLimit(maxConcurrentPolls)
		for _, name := range d.targetNames(set) {
			t := set.Targets[name]
			if t.Kind != record.TargetEngine {
				continue
			}
			cursor := cursors[name]
			if cursor == nil {
				cursor = &cacheCursor{}
				cursors[name] = cursor
			}
			group.Go(func() error {
				d.readCacheEvents(ctx, name, t.URL, cursor)
				return nil
			})
		}
		_ = group.Wait()
	}
}

// readCacheEvents applies the next events of one engine. Events are hints, so a
// gap is counted and ignored. After a restart, events are read from the
// beginning.
func (d *Dispatcher) readCacheEvents(ctx context.Context, name, url string, cursor *cacheCursor) {
	events, err := d.Targets.CacheEvents(ctx, url, cursor.sequence)
	if err != nil {
		return
	}
	if events.Incarnation != cursor.incarnation {
		restarted := cursor.incarnation != 0
		*cursor = cacheCursor{incarnation: events.Incarnation}
		if restarted {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, event := range events.Events {
		if cursor.sequence != 0 && event.Sequence > cursor.sequence+1 {
			d.count("cacheEvents.gaps")
		}
		cursor.sequence = max(cursor.sequence, event.Sequence)
		key, err := prefix.ParseKey(event.Key)
		if err != nil {
			d.count("cacheEvents.malformed")
			continue
		}
		d.placer.RecordCached(name, key, event.Removed)
	}
}
