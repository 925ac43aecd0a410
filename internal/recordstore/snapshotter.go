package recordstore

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/packed"
)

const (
	snapshotObject = "records-snapshot"
	snapshotDuty   = "recordsSnapshot"
	// snapshotBehind is the number of revisions after which a new snapshot is
	// written, so that a start reads at most that much history.
	snapshotBehind   = 100
	maxSnapshotBytes = 64 << 20
)

// ObjectProvider is the part of the object store that records need.
type ObjectProvider interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Snapshotter keeps a copy of all records in the object store, so that a starting
// host reads one object and a little history instead of every record. One host
// writes it; two that both think it is theirs do no harm. The exported fields
// are set before Run.
type Snapshotter struct {
	Objects  ObjectProvider
	Follower *Follower
	Clock    clock.Clock
	Log      *log.Logger
	Every    time.Duration
	// IsOwner reports whether this host is the one to look after a name.
	IsOwner func(name string) bool

	written int64
}

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	clock.Every(ctx, s.Clock, s.Every, s.Write)
	return nil
}

// Write replaces the snapshot when it is too far behind.
func (s *Snapshotter) Write(ctx context.Context) {
	set := s.Follower.Current()
	if set.Revision < s.written+snapshotBehind || !s.IsOwner(snapshotDuty) {
		return
	}
	if known, err := readSnapshot(ctx, s.Objects); err == nil && set.Revision < known.Revision+snapshotBehind {
		s.written = known.Revision
		return
	}
	data, err := packed.Encode(Catchup{Revision: set.Revision, Full: true, Changes: set.Changes()})
	if err == nil {
		err = s.Objects.PutObject(ctx, snapshotObject, data)
	}
	if err != nil {
		s.Log.Warn().Str("part", "records").Err(err).Msg("records: snapshot is not written")
		return
	}
	s.written = set.Revision
	s.Log.Info().Str("part", "records").Int64("revision", set.Revision).Int("bytes", len(data)).Msg("records: snapshot written")
}

// readSnapshot reads the snapshot. The history behind it is the table's.
func readSnapshot(ctx context.Context, objects ObjectProvider) (Catchup, error) {
	var catchup Catchup
	data, err := objects.GetObject(ctx, snapshotObject)
	if err != nil {
		return catchup, err
	}
	if err := packed.Decode(data, maxSnapshotBytes, &catchup); err != nil {
		return catchup, fmt.Errorf("reading snapshot: %w", err)
	}
	if catchup.Revision < 1 || !catchup.Full {
		return catchup, fmt.Errorf("snapshot: want a whole set, got revision %d", catchup.Revision)
	}
	return catchup, nil
}
