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
	snapshotObject   = "records-snapshot"
	snapshotOwnerKey = "recordsSnapshot"
	// revisionsPerSnapshot is the number of revisions after which a new snapshot is
	// written. It bounds the history that a starting host reads.
	revisionsPerSnapshot = 100
	maxSnapshotBytes     = 64 << 20
)

// ObjectProvider is the subset of the object store that this package uses.
type ObjectProvider interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Snapshotter writes snapshots of all records to the object store, so that a
// starting host reads one object and the changes after it instead of every record.
// Only the owner of snapshotOwnerKey writes them. It does no harm if two hosts
// consider themselves the owner and both write. The exported fields are set before
// Run.
type Snapshotter struct {
	Objects  ObjectProvider
	Follower *Follower
	Clock    clock.Clock
	Log      *log.Logger
	// Every is the time between two checks whether a new snapshot is due.
	Every time.Duration
	// IsOwner reports whether this host owns a name.
	IsOwner func(name string) bool

	writtenRevision int64
}

// Run calls Write periodically until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	clock.Every(ctx, s.Clock, s.Every, s.Write)
	return nil
}

// Write replaces the snapshot if this host owns it and the snapshot is at least
// revisionsPerSnapshot revisions behind.
func (s *Snapshotter) Write(ctx context.Context) {
	set := s.Follower.Current()
	if set.Revision < s.writtenRevision+revisionsPerSnapshot || !s.IsOwner(snapshotOwnerKey) {
		return
	}
	if existing, err := readSnapshot(ctx, s.Objects); err == nil && set.Revision < existing.Revision+revisionsPerSnapshot {
		s.writtenRevision = existing.Revision
		return
	}
	data, err := packed.Encode(Catchup{Revision: set.Revision, Full: true, Changes: set.Changes()})
	if err == nil {
		err = s.Objects.PutObject(ctx, snapshotObject, data)
	}
	if err != nil {
		s.Log.Warn().Str("part", "records").Err(err).Msg("records: writing the snapshot failed")
		return
	}
	s.writtenRevision = set.Revision
	s.Log.Info().Str("part", "records").Int64("revision", set.Revision).Int("bytes", len(data)).Msg("records: snapshot written")
}

// readSnapshot reads the snapshot. The changes after its revision are read from the
// table service.
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
		return catchup, fmt.Errorf("snapshot: want a full set with a revision, got revision %d", catchup.Revision)
	}
	return catchup, nil
}
