// Package streambuild keeps track of the builds of services, which are the versions of the
// software of their targets, and of the build that began each stream that callers may resume.
// Only that build can go on with the stream. What is known lasts in the table service, so that
// it outlives the hosts.
//
// A build is announced in the row of its service before streams begin at it. While a row holds
// one build, that build began every stream. While it holds several, hosts record the build of
// each stream. The same goes for services among which streams are resumed, taken together. A build
// without targets is closed in the row, so that no stream begins at it before
// it is announced again, and withdrawn when the streams that began at it have ended.
package streambuild

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Table is the subset of the table service that the Registry uses.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Page(ctx context.Context, s platform.Scan) (platform.Page, error)
	CommitVersion(ctx context.Context, tx platform.Transaction) (int64, error)
	Era() int64
	// ServiceMillis converts times, see platform.Client.
	ServiceMillis(t time.Time) (era, millis int64, ok bool)
}

// Registry announces builds, and records and finds the builds of streams. The exported fields
// are set before Run.
type Registry struct {
	Table Table
	Fleet *fleet.View
	Clock clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	// Rank is in [0, 1) and differs between the hosts.
	Rank float64
	// HostCount returns the number of live entry hosts, HostRank the number of other live ones
	// with a higher rendezvous hash for a name.
	HostCount func() int
	HostRank  func(name string) int
	// OnChange is called when streams may begin at other builds than before.
	OnChange func()

	// wake and flush have a value when rows or records are to be written.
	wake, flush chan struct{}

	mu sync.Mutex
	// loaded is set once the shared table has been read.
	loaded   bool
	services map[string]*service
	// own are the streams that this host has begun, by ID, and order their IDs, oldest first.
	own   map[string]*ownStream
	order []string
	// unwritten are the IDs of own streams whose record is still to be written.
	unwritten []string
	// retention is how long a stream can be resumed after its beginning.
	retention time.Duration
	relations []relation
	sweep     sweep
	rowErrors platform.RowErrors
}

// Stream says where a stream began.
type Stream struct {
	Service string `json:"service"`
	Build   string `json:"build"`
}

// service is what is known of the builds of one service.
type service struct {
	row buildsRow
	// position is that of the row as last read or written. It has the version 0 if the row is
	// absent.
	position platform.Position
	// earlier are the builds of the row before the table service was restored from an older
	// copy, until the row is written again.
	earlier []string
	// pendingSince is when a build was first listed that isn't announced, zero if there is none.
	pendingSince time.Time
	attemptedAt  time.Time
	// unlistedSince is since when a build has had no target.
	unlistedSince map[string]time.Time
}

// Init initializes the Registry. It must be called before any other method.
func (r *Registry) Init() {
	r.wake, r.flush = make(chan struct{}, 1), make(chan struct{}, 1)
	r.services = map[string]*service{}
	r.own = map[string]*ownStream{}
	r.retention = minRetention
}

const (
	// minRetention is the shortest time for which the build of a stream is kept.
	minRetention = time.Minute
	// retentionTimeouts is that time in timeouts of the slowest route. A caller may resume a
	// stream again and again, and each request may take the timeout of its route.
	retentionTimeouts = 4
)

// SetLongestTimeout sets the longest timeout of the routes whose streams can be resumed.
func (r *Registry) SetLongestTimeout(timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retention = max(minRetention, retentionTimeouts*timeout)
}

// service returns the state of a service, and adds it if it is unknown. The lock must be held.
func (r *Registry) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{unlistedSince: map[string]time.Time{}}
		r.services[name] = s
	}
	return s
}

// TargetsChanged makes the Registry announce builds that have been listed.
func (r *Registry) TargetsChanged() { signal(r.wake) }

// signal sends a value unless one is waiting to be received.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Usable reports whether streams that can be resumed may begin at a build of a service.
func (r *Registry) Usable(name, build string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s != nil && (s.row.open(build) || slices.Contains(s.earlier, build))
}

// checkInterval is the longest time between two checks of the rows of services.
const checkInterval = time.Second

// Run announces and withdraws builds, and writes and removes records of streams, until ctx
// ends.
func (r *Registry) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { r.writeRecords(ctx) })
	tasks.Go(func() { clock.Every(ctx, r.Clock, sweepInterval, r.sweepRecords) })
	tasks.Go(func() { clock.Every(ctx, r.Clock, checkInterval, func(context.Context) { signal(r.wake) }) })
	for ctx.Err() == nil {
		select {
		case <-r.wake:
			r.announce(ctx)
		case <-ctx.Done():
		}
	}
	tasks.Wait()
	return nil
}

const (
	// findAttempts is how often the build of a stream is looked up, and findPause the time
	// between two attempts. A record may still be on its way.
	findAttempts = 3
	findPause    = 150 * time.Millisecond
)

// errUnknownStream is returned for a stream that no host has recorded.
var errUnknownStream = errors.New("no host has recorded which build began the stream")

// Find returns where a stream of a service began that a caller resumes. id is the ID of the
// request that began it, empty if that isn't known.
func (r *Registry) Find(ctx context.Context, name, id string) (Stream, error) {
	begin := r.Clock.Now()
	var found Stream
	var source string
	var err error
	for attempt := range findAttempts {
		if attempt > 0 && clock.Sleep(ctx, r.Clock, findPause) != nil {
			break
		}
		if found, source, err = r.find(ctx, name, id); err == nil {
			break
		}
	}
	entry := r.Log.Info().Str("part", "streams").Str("origin", id).Str("service", name).Dur("took", r.Clock.Now().Sub(begin))
	if err != nil {
		entry.Err(err).Msg("streams: build of a resumed stream is unknown")
		return Stream{}, err
	}
	entry.Str("build", found.Build).Str("source", source).Msg("streams: build of a resumed stream found")
	return found, nil
}

// find returns where a stream began, and how that is known.
func (r *Registry) find(ctx context.Context, name, id string) (found Stream, source string, err error) {
	r.mu.Lock()
	own := r.own[id]
	services := r.related(name)
	builds, _ := r.builds(services)
	several := len(builds) > 1
	r.mu.Unlock()
	if own != nil {
		return own.Stream, "own", nil
	}
	if several {
		if found, err = r.readRecord(ctx, id); !errors.Is(err, errUnknownStream) {
			return found, "record", err
		}
	}
	build, only, err := r.readOnlyBuild(ctx, services)
	switch {
	case err != nil:
		return Stream{}, "", err
	case only:
		return Stream{Service: name, Build: build}, "onlyBuild", nil
	case several:
		return Stream{}, "", errUnknownStream
	}
	found, err = r.readRecord(ctx, id)
	return found, "record", err
}

// readOnlyBuild returns the build of services if it is the only one at which streams may have
// begun. It reads the rows of the services, since another host may have announced a build that
// the copies lack.
func (r *Registry) readOnlyBuild(ctx context.Context, services []string) (build string, only bool, err error) {
	for _, name := range services {
		row, exists, err := r.Table.Get(ctx, platform.SharedTable, rowKey(name))
		if err != nil {
			return "", false, fmt.Errorf("reading the builds of service %s: %w", name, err)
		}
		if !exists {
			return "", false, nil
		}
		r.apply(name, row)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	builds, certain := r.builds(services)
	if !certain || len(builds) != 1 {
		return "", false, nil
	}
	return builds[0], true, nil
}
