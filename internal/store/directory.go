package store

import (
	"slices"
	"sync"
	"time"
)

// Directory lists the committed blocks of all store hosts as this host last saw
// them, pins blocks while they are read, and selects the blocks to free.
//
// A block is freed in three steps: its commit record is deleted, the grace period
// passes, and the block is deleted. A read may start only within FreshFor after its
// store host was listed and must end within ReadLimit. The grace period is longer
// than both together, so no host reads a deleted block.
type Directory struct {
	// FreshFor is how long after a listing new reads may start.
	FreshFor time.Duration
	// ReadLimit is the maximum duration of a read.
	ReadLimit time.Duration
	// FreeGrace is the time between the deletion of a commit record and that of its
	// block. It is extended to FreshFor plus ReadLimit if it is shorter.
	FreeGrace time.Duration

	mu     sync.Mutex
	stores map[string]*storeState
}

type storeState struct {
	listedAt  time.Time
	cursor    Cursor
	blocks    map[string]*blockState
	byKey     map[string]string
	bytes     int64
	withdrawn []withdrawnBlock
}

type blockState struct {
	commit   Commit
	lastUsed time.Time
	pins     int
}

// withdrawnBlock is a block that is no longer in the directory and not yet deleted.
type withdrawnBlock struct {
	commit Commit
	// confirmedAt is when the deletion of the commit record was confirmed; zero before.
	confirmedAt time.Time
}

// Change reports that a store host now has a committed block for a key, or no longer
// has one if Removed is set.
type Change struct {
	Key     string
	Removed bool
}

func (d *Directory) state(store string) *storeState {
	if d.stores == nil {
		d.stores = map[string]*storeState{}
	}
	s := d.stores[store]
	if s == nil {
		s = &storeState{blocks: map[string]*blockState{}, byKey: map[string]string{}}
		d.stores[store] = s
	}
	return s
}

// Cursor returns the position up to which the commit records of a store host were
// read.
func (d *Directory) Cursor(store string) Cursor {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(store).cursor
}

// ApplyListing applies a listing of a store host and returns the changes. at is
// when the listing was requested.
func (d *Directory) ApplyListing(at time.Time, store string, listing Listing) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(store)
	s.listedAt = at
	s.cursor = listing.Cursor
	var changes []Change
	listed := make(map[string]bool, len(listing.Commits))
	for _, commit := range listing.Commits {
		listed[commit.Name] = true
		if !s.isWithdrawn(commit.Name) && s.add(at, commit) {
			changes = append(changes, Change{Key: commit.Key})
		}
	}
	for _, name := range listing.Removed {
		changes = append(changes, s.dropUnpinned(name)...)
	}
	if !listing.Full {
		return changes
	}
	for name, block := range s.blocks {
		// A block that this host has committed since at may be missing from the listing.
		if !listed[name] && block.lastUsed.Before(at) {
			changes = append(changes, s.dropUnpinned(name)...)
		}
	}
	return changes
}

// Add adds a block that this host has just committed.
func (d *Directory) Add(now time.Time, store string, commit Commit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(store).add(now, commit)
}

// Pin finds the committed block of a key for a client account and version. This
// host doesn't free the block until Unpin. Pin fails if the listing of the store
// host is older than FreshFor.
func (d *Directory) Pin(now time.Time, store, key, account, version string) (Commit, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(store)
	block := s.blocks[s.byKey[key]]
	if block == nil || now.Sub(s.listedAt) > d.FreshFor {
		return Commit{}, false
	}
	if block.commit.ClientAccount != account || block.commit.Version != version {
		return Commit{}, false
	}
	block.pins++
	block.lastUsed = now
	return block.commit, true
}

// Unpin ends a read that Pin began.
func (d *Directory) Unpin(store, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if block := d.state(store).blocks[name]; block != nil && block.pins > 0 {
		block.pins--
	}
}

// Holds reports whether a store host has a committed block for a key.
func (d *Directory) Holds(store, key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.state(store).byKey[key]
	return ok
}

// Bytes returns the total size of the committed blocks on a store host.
func (d *Directory) Bytes(store string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(store).bytes
}

// Withdraw removes the least recently used unpinned blocks from the directory until
// the blocks of a store host take at most limit bytes. It returns the blocks whose
// commit records must be deleted next, including unconfirmed ones from earlier
// calls.
func (d *Directory) Withdraw(store string, limit int64) []Commit {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(store)
	if s.bytes > limit {
		s.withdrawLeastRecent(limit)
	}
	var commits []Commit
	for _, w := range s.withdrawn {
		if w.confirmedAt.IsZero() {
			commits = append(commits, w.commit)
		}
	}
	return commits
}

// ConfirmWithdrawal records that the commit record of a block is deleted. The grace
// period of the block starts at now.
func (d *Directory) ConfirmWithdrawal(now time.Time, store, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(store)
	for i := range s.withdrawn {
		if s.withdrawn[i].commit.Name == name {
			s.withdrawn[i].confirmedAt = now
		}
	}
}

func (s *storeState) withdrawLeastRecent(limit int64) {
	blocks := make([]*blockState, 0, len(s.blocks))
	for _, block := range s.blocks {
		if block.pins == 0 {
			blocks = append(blocks, block)
		}
	}
	slices.SortFunc(blocks, func(a, b *blockState) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, block := range blocks {
		if s.bytes <= limit {
			return
		}
		s.drop(block.commit.Name)
		s.withdrawn = append(s.withdrawn, withdrawnBlock{commit: block.commit})
	}
}

// Deletable returns the withdrawn blocks whose grace period has passed. Each block
// is returned once.
func (d *Directory) Deletable(now time.Time, store string) []Commit {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(store)
	grace := max(d.FreeGrace, d.FreshFor+d.ReadLimit)
	var commits []Commit
	s.withdrawn = slices.DeleteFunc(s.withdrawn, func(w withdrawnBlock) bool {
		if w.confirmedAt.IsZero() || now.Sub(w.confirmedAt) <= grace {
			return false
		}
		commits = append(commits, w.commit)
		return true
	})
	return commits
}

func (s *storeState) add(now time.Time, commit Commit) bool {
	if known := s.blocks[commit.Name]; known != nil {
		return false
	}
	s.blocks[commit.Name] = &blockState{commit: commit, lastUsed: now}
	s.bytes += commit.Length
	_, hadKey := s.byKey[commit.Key]
	s.byKey[commit.Key] = commit.Name
	return !hadKey
}

func (s *storeState) drop(name string) []Change {
	block := s.blocks[name]
	delete(s.blocks, name)
	s.bytes -= block.commit.Length
	if s.byKey[block.commit.Key] != name {
		return nil
	}
	delete(s.byKey, block.commit.Key)
	return []Change{{Key: block.commit.Key, Removed: true}}
}

// dropUnpinned removes a block unless it is pinned. A pinned block stays until the
// first full listing without it after its last Unpin. Reads of it may fail until then.
func (s *storeState) dropUnpinned(name string) []Change {
	block := s.blocks[name]
	if block == nil || block.pins > 0 {
		return nil
	}
	return s.drop(name)
}

func (s *storeState) isWithdrawn(name string) bool {
	return slices.ContainsFunc(s.withdrawn, func(w withdrawnBlock) bool { return w.commit.Name == name })
}
