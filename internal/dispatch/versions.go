package dispatch

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// versionCheckInterval is the interval at which engines are checked for
	// missing versions.
	versionCheckInterval = time.Second
	// maxConcurrentLoads is the maximum number of engines that load weights at
	// the same time.
	maxConcurrentLoads = 2
	// versionOwnerKey is the name whose owner orders engines to load weights.
	versionOwnerKey = "versionLoads"
)

type versionLoad struct {
	target  string
	url     string
	version string
}

// loadVersions orders engines to load the versions that routing rules name. The
// number of concurrent loads is limited, since the weight store has limited
// throughput.
func (d *Dispatcher) loadVersions(ctx context.Context) {
	if !d.Peers.IsOwner(versionOwnerKey) || !d.Records.RecentEnough() {
		return
	}
	set := d.Records.Current()
	var group errgroup.Group
	group.SetLimit(maxConcurrentLoads)
	for _, load := range d.missingVersions(set) {
		group.Go(func() error {
			d.loadVersion(ctx, set, load)
			return nil
		})
	}
	_ = group.Wait()
}

// loadVersion sends one order. The fencing token is the revision on which the
// order is based. The ownership and the revision are checked again immediately
// before the order is sent.
func (d *Dispatcher) loadVersion(ctx context.Context, set *record.Set, load versionLoad) {
	if !d.Peers.IsOwner(versionOwnerKey) || d.Records.Current().Revision != set.Revision {
		return
	}
	d.Log.Info().Str("part", "versions").Str("target", load.target).Str("version", load.version).
		Int64("fence", set.Revision).Msg("versions: ordering an engine to load a weight version")
	if err := d.Targets.ChangeVersion(ctx, load.url, target.VersionRequest{Version: load.version, FencingToken: set.Revision}); err != nil {
		d.count("versions.failed")
	}
}

// missingVersions returns the engines that lack a version that some rule names.
func (d *Dispatcher) missingVersions(set *record.Set) []versionLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []versionLoad
	for _, name := range d.targetNames(set) {
		t := set.Targets[name]
		if t.Kind != record.TargetEngine || !d.placer.Usable(name) {
			continue
		}
		for _, version := range wantedVersions(set, t) {
			if !d.placer.HasVersion(name, version) {
				loads = append(loads, versionLoad{target: name, url: t.URL, version: version})
			}
		}
	}
	return loads
}

func wantedVersions(set *record.Set, t *record.Target) []string {
	var wanted []string
	for _, rule := range set.Rules {
		if slices.Contains(t.Models, rule.Model) && !slices.Contains(wanted, rule.Version) {
			wanted = append(wanted, rule.Version)
		}
	}
	slices.Sort(wanted)
	return wanted
}
