package dispatch

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/retention"
	"sassafrasplank.example/sassafrasplank/internal/store"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// storeListInterval is the time between two listings of a store host.
	storeListInterval = 2 * time.Second
	storeFreeInterval = 5 * time.Second
	// listingFreshFor is how long new reads may be based on a listing.
	listingFreshFor = 10 * time.Second
	// readLimit is the maximum duration of a read of blocks.
	readLimit = 20 * time.Second
	// freeAboveShare is the used share of a store host's memory and disk above
	// which blocks are freed.
	freeAboveShare = 0.9
)

// chainKeys contains the keys of the blocks of a prompt in order.
type chainKeys = []prefix.Key

// finishedPrompt is a prompt that has run and may be retained.
type finishedPrompt struct {
	account string
	version string
	target  string
	chain   chainKeys
}

// retainFinished decides for each finished prompt what to retain, and carries
// out the decision.
func (d *Dispatcher) retainFinished(ctx context.Context) {
	for {
		select {
		case f := <-d.finished:
			d.retain(ctx, &f)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) retain(ctx context.Context, f *finishedPrompt) {
	set := d.Records.Current()
	t := set.Targets[f.target]
	if t == nil || len(f.chain) == 0 {
		return
	}
	now := d.Clock.Now()
	d.mu.Lock()
	plan := d.retention.Plan(now, retention.FinishedPrompt{
		Account:      f.account,
		Chain:        f.chain,
		StoredBlocks: d.storedBlocks(set, f.chain),
		PrefillRate:  t.PrefillTokensPerSecond,
	}, d.storeViews(now, set))
	if plan.Reason == retention.ReasonKeep {
		d.placer.ReserveLink(now, plan.Store, float64((plan.To-plan.From)*d.Config.Placement.BlockTokens)*float64(d.Config.Retention.BytesPerToken))
	}
	d.mu.Unlock()
	d.logRetention(f, &plan)
	if plan.Reason != retention.ReasonKeep {
		return
	}
	d.export(ctx, set, t, f, &plan)
}

// storedBlocks returns the length of the longest prefix of a chain whose last
// block is on some store host.
func (d *Dispatcher) storedBlocks(set *record.Set, chain chainKeys) int {
	for i := len(chain); i > 0; i-- {
		for name := range set.Stores {
			if d.directory.Holds(name, chain[i-1].String()) {
				return i
			}
		}
	}
	return 0
}

// storeViews describes the reachable store hosts to the planner. The lock must be
// held.
func (d *Dispatcher) storeViews(now time.Time, set *record.Set) []retention.StoreView {
	var views []retention.StoreView
	for _, name := range slices.Sorted(maps.Keys(set.Stores)) {
		s := set.Stores[name]
		if d.placer.LinkDown(name) {
			continue
		}
		views = append(views, retention.StoreView{
			Name:           name,
			BytesPerSecond: s.LinkBytesPerSecond,
			Backlog:        d.placer.LinkBacklog(now, name),
			UsedBytes:      d.directory.Bytes(name),
			MemoryBytes:    s.MemoryBytes,
			DiskBytes:      s.DiskBytes,
		})
	}
	return views
}

// export orders a target to write blocks, and commits those that were written
// completely. The commit record of a block is written after the block.
func (d *Dispatcher) export(ctx context.Context, set *record.Set, t *record.Target, f *finishedPrompt, plan *retention.Plan) {
	host := set.Stores[plan.Store]
	order := target.BlockRequest{FencingToken: set.Revision}
	for _, key := range f.chain[plan.From:plan.To] {
		generation := d.lastGeneration.Add(1)
		order.Blocks = append(order.Blocks, target.Block{
			Key:        key.String(),
			Name:       d.blockName(key, generation),
			Generation: generation,
			StoreURL:   host.URL,
			Tier:       string(plan.Tier),
		})
	}
	result, err := d.Targets.Export(ctx, t.URL, order)
	if err != nil {
		d.count("retention.exportFailed")
		return
	}
	if len(result.Blocks) < len(order.Blocks) {
		d.count("retention.exportShort")
	}
	for i := range result.Blocks {
		d.commitBlock(ctx, f, plan, host.URL, &result.Blocks[i])
	}
}

// blockName returns a name that is never used again. It consists of the key,
// this host's name and incarnation, and the generation.
func (d *Dispatcher) blockName(key prefix.Key, generation int64) string {
	return key.String() + "-" + d.Host + "-" + strconv.FormatInt(d.Incarnation, 36) + "-" + strconv.FormatInt(generation, 36)
}

func (d *Dispatcher) commitBlock(ctx context.Context, f *finishedPrompt, plan *retention.Plan, url string, block *target.Block) {
	commit := store.Commit{
		Key:           block.Key,
		Name:          block.Name,
		Generation:    block.Generation,
		Length:        block.Length,
		Checksum:      block.Checksum,
		ClientAccount: f.account,
		Version:       f.version,
		Tier:          plan.Tier,
	}
	if err := d.Stores.PutCommit(ctx, url, commit); err != nil {
		d.count("retention.commitFailed")
		return
	}
	now := d.Clock.Now()
	d.directory.Add(now, plan.Store, commit)
	d.recordStored(plan.Store, block.Key, false)
	d.count("retention.kept")
}

func (d *Dispatcher) recordStored(storeName, key string, removed bool) {
	parsed, err := prefix.ParseKey(key)
	if err != nil {
		d.count("retention.malformedKey")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordStored(storeName, parsed, removed)
}

// importPrefix orders a target to read the stored prefix of a prompt. The first
// block that can't be pinned, all later ones, and blocks that don't match their
// commit records are left to be recomputed.
func (d *Dispatcher) importPrefix(ctx context.Context, at *attempt, run *target.RunRequest, chain chainKeys) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	set := d.Records.Current()
	storeName := at.decision.Store
	host := set.Stores[storeName]
	if host == nil {
		return
	}
	first := at.decision.Chosen.ReusedTokens / d.Config.Placement.BlockTokens
	order := target.BlockRequest{FencingToken: set.Revision}
	now := d.Clock.Now()
	for _, key := range chain[first:at.decision.ImportBlocks] {
		commit, ok := d.directory.Pin(now, storeName, key.String(), run.ClientAccount, run.Version)
		if !ok {
			d.recordStored(storeName, key.String(), true)
			break
		}
		defer d.directory.Unpin(storeName, commit.Name)
		order.Blocks = append(order.Blocks, target.Block{
			Key:        commit.Key,
			Name:       commit.Name,
			Generation: commit.Generation,
			Length:     commit.Length,
			Checksum:   commit.Checksum,
			StoreURL:   host.URL,
			Tier:       string(commit.Tier),
		})
	}
	if len(order.Blocks) == 0 {
		return
	}
	result, err := d.Targets.Import(ctx, at.url, order)
	d.recordImport(at, storeName, order.Blocks, result.Blocks, d.Clock.Now().Sub(now), err)
}

// recordImport updates the speed of the link from the duration of an import. If
// the import has not failed, it records the blocks that were ordered but that the
// target could not read as removed from the store host.
func (d *Dispatcher) recordImport(at *attempt, storeName string, ordered, read []target.Block, took time.Duration, err error) {
	expected := time.Duration(at.decision.Chosen.Import * float64(time.Second))
	d.mu.Lock()
	d.placer.ObserveLink(storeName, expected, took)
	d.mu.Unlock()
	if err != nil {
		d.count("retention.importFailed")
		return
	}
	d.count("retention.imports")
	for _, block := range ordered {
		if !slices.ContainsFunc(read, func(b target.Block) bool { return b.Name == block.Name }) {
			d.count("retention.mismatch")
			d.recordStored(storeName, block.Key, true)
		}
	}
}

// listStores reads the changes of the committed blocks from every store host.
func (d *Dispatcher) listStores(ctx context.Context) {
	set := d.Records.Current()
	for name, host := range set.Stores {
		at := d.Clock.Now()
		listing, err := d.Stores.List(ctx, host.URL, d.directory.Cursor(name))
		d.mu.Lock()
		d.placer.SetLinkDown(name, err != nil)
		d.mu.Unlock()
		if err != nil {
			continue
		}
		for _, change := range d.directory.ApplyListing(at, name, listing) {
			d.recordStored(name, change.Key, change.Removed)
		}
	}
}

// freeBlocks frees space on the store hosts that this host owns.
func (d *Dispatcher) freeBlocks(ctx context.Context) {
	set := d.Records.Current()
	for name, host := range set.Stores {
		if !d.Peers.IsOwner("store/" + name) {
			continue
		}
		limit := int64(freeAboveShare * float64(host.MemoryBytes+host.DiskBytes))
		for _, commit := range d.directory.Withdraw(name, limit) {
			d.recordStored(name, commit.Key, true)
			if d.Stores.DeleteCommit(ctx, host.URL, commit.Name) == nil {
				d.directory.ConfirmWithdrawal(d.Clock.Now(), name, commit.Name)
			}
		}
		for _, commit := range d.directory.Deletable(d.Clock.Now(), name) {
			if d.Stores.DeleteBlock(ctx, host.URL, commit.Name, commit.Generation) == nil {
				d.count("retention.freed")
			}
		}
	}
}
