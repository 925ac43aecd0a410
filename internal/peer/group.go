package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// callTimeout limits one call that asks a peer for record changes, or that sends or
	// releases a ledger batch.
	callTimeout = 2 * time.Second
	// exchangeTimeout limits one exchange and one read of table rows. Both are repeated
	// often, and an unresponsive peer must not delay the following ones.
	exchangeTimeout = time.Second
	// hostListInterval is the interval between reads of the host list.
	hostListInterval = 2 * time.Second
	// reportMaxAge is how long a peer's report is fresh. The revision and the table
	// versions in it are used at any age.
	reportMaxAge = 10 * time.Second
	// maxMembers limits the answer to a request for all members.
	maxMembers = 65536
	// updatesPerMessage limits the membership updates in one message.
	updatesPerMessage = 16
)

// HostLister provides the host list, which lags behind. For routed hosts, it consists of
// the rows that they have written into the shared table.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// LocalProvider provides the report of this host and receives the suspect requests
// that peers report.
type LocalProvider interface {
	// PeerReport describes this host. The Group fills in the revisions, the contact
	// with the table service, Ready, Tables and Loads.
	PeerReport() Report
	// PeerLoads returns what this host has placed on targets.
	PeerLoads() []placement.TargetLoad
	// MergeSuspects adds the suspects that a peer reported.
	MergeSuspects(suspects []retry.Suspect)
	// MergeLeaving applies the leaving targets that a peer reported.
	MergeLeaving(leaving []LeavingTarget)
	// MergeLimits applies the limits of targets that a peer reported, and MergeBrittle what
	// brittle targets have stated to it.
	MergeLimits(limits []TargetLimit)
	MergeBrittle(brittle []TargetLimit)
}

// PoolDecider admits and places requests of other hosts as the owner of a pool.
type PoolDecider interface {
	// DecideFor admits and places a request of another host.
	DecideFor(ctx context.Context, request *wire.DecideRequest) (*wire.DecideResponse, error)
	// ObserveFor records the progress and the end of requests that this host placed
	// for another one.
	ObserveFor(request *wire.ObserveRequest)
}

// TargetWatcher is notified of targets that are leaving.
type TargetWatcher interface {
	// TargetLeaving is called each time the host list shows a target as leaving.
	TargetLeaving(name string)
}

// ContactProvider provides the time since this host itself last reached the table
// service, and false if it has not done so yet.
type ContactProvider interface {
	ContactAge() (time.Duration, bool)
}

// RecordFollower provides the records in force and keeps them up to date.
type RecordFollower interface {
	Current() *record.Set
	ContactAge() (time.Duration, bool)
	CatchupFor(since int64) recordstore.Catchup
	Wake()
}

// Group is the group of entry hosts as seen by this host. Its exported fields must
// be set before Run.
type Group struct {
	Self     membership.Member
	Params   membership.Params
	Interval time.Duration
	FanOut   int
	Seeds    []string
	HostList HostLister
	Clock    clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended. It is Clock if it is nil.
	Steady clock.Clock
	Log    *log.Logger
	HTTP   *http.Client
	Local  LocalProvider
	// Pools, Watcher and Records may be nil on hosts whose configuration and list of
	// targets are stored in the table service.
	Pools   PoolDecider
	Watcher TargetWatcher
	Records RecordFollower
	// Shards may be nil on hosts that place no attempts of other hosts.
	Shards ShardPlacer
	// Tables may be nil on hosts that follow no tables.
	Tables TableSource
	// Caches may be nil on hosts that poll no cache events.
	Caches CacheProvider
	// Contact tells when this host itself last reached the table service. If it is nil,
	// Records does.
	Contact ContactProvider
	// Readers is the number of hosts that read the tables for the others, see ReadsTables, and
	// AskReaderAfter the time without news of a contact with the table service after which this
	// host exchanges messages with one of them. If Readers is 0, it has no preference.
	Readers        int
	AskReaderAfter time.Duration
	// Ledger may be nil on hosts that hold no ledger batches.
	Ledger LedgerTable
	// CollectLoads makes a group of many hosts collect their loads, see collectAbove.
	CollectLoads bool
	// LoadMaxAge is how long the loads in a peer's report are used. The default is
	// reportMaxAge.
	LoadMaxAge time.Duration
	// Ready reports whether this host takes requests, also of other hosts.
	Ready func() bool

	// client calls peers. It is HTTP with a limit on answers.
	client *http.Client
	// startedAt is when the group was initialized.
	startedAt time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	members *membership.Table
	reports map[string]receivedReport
	// newestRows contains the newest row of each table that a report states. An entry is
	// missing if it has to be looked for in the reports.
	newestRows map[string]peerRow
	// avoidRows maps peers that gave no rows to the end of the time in which others are preferred.
	avoidRows map[string]time.Time
	longRows  longRows
	// listedHosts has the names of the entry hosts in the last host list that are not
	// leaving.
	listedHosts map[string]bool
	// capacities are those that entry hosts stated last, by name.
	capacities map[string]float64
	// listRead is set once a host list has had an entry host.
	listRead bool
	// contactAt is the time of the latest contact with the table service that a peer
	// has reported.
	contactAt time.Time
	// contactResumedAt is that of the first contact after at least contactGap without one.
	contactResumedAt time.Time
	// askedAt is when the last exchange with a reader began because of AskReaderAfter.
	askedAt         time.Time
	highestRevision int64
	batches         batchMirror
	collected       loadCollector
	roles           roles
	unusable        unusableLog
	// builds is only used by watchBuilds.
	builds buildsLog
}

// receivedReport is the last report of a peer and when it arrived.
type receivedReport struct {
	report Report
	at     time.Time
}

// Init prepares the group. It must be called once before any other method.
func (g *Group) Init() {
	params := g.Params
	params.UpdatesPerMessage = updatesPerMessage
	if g.LoadMaxAge == 0 {
		g.LoadMaxAge = reportMaxAge
	}
	g.client = limited(g.HTTP)
	g.startedAt = g.Clock.Now()
	g.rng = rand.New(rand.NewPCG(uint64(g.Self.Incarnation), 1))
	g.members = membership.NewTable(g.Self, params)
	g.reports = map[string]receivedReport{}
	g.newestRows = map[string]peerRow{}
	g.avoidRows = map[string]time.Time{}
	g.listedHosts = map[string]bool{}
}

// Run participates in the group until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		g.readHostList(ctx)
		clock.Every(ctx, g.Clock, hostListInterval, g.readHostList)
	})
	tasks.Go(func() { clock.Every(ctx, g.Clock, g.Interval, g.round) })
	if g.CollectLoads {
		tasks.Go(func() { g.runCollection(ctx) })
	}
	tasks.Go(func() { clock.Every(ctx, g.Clock, batchInterval, g.writeBatches) })
	tasks.Go(func() { clock.Every(ctx, g.Clock, buildsInterval, g.watchBuilds) })
	tasks.Wait()
	return nil
}

// Leave marks this host as having left, which is final, and notifies some peers.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.members.Leave()
	g.mu.Unlock()
	g.round(ctx)
}

// round exchanges messages with the next FanOut partners of this host.
func (g *Group) round(ctx context.Context) {
	g.mu.Lock()
	g.members.Tick(g.Clock.Now())
	fanOut := g.FanOut
	if g.collectsLoads() {
		fanOut = 1 // Exchanges then need not spread the loads.
	}
	partners := g.partners(fanOut)
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, partner := range partners {
		calls.Go(func() { g.exchange(ctx, partner.Name, partner.URL) })
	}
	calls.Wait()
}

// partners returns the partners of the next exchanges. The lock must be held.
func (g *Group) partners(n int) []membership.Member {
	partners := g.members.Partners(g.rng, n)
	if n > 1 {
		return partners // News then travels fast enough.
	}
	if reader, ok := g.askReader(); ok {
		partners = append(partners, reader)
	}
	return partners
}

// exchange sends one peer the updates and the report of this host, and applies
// those of its answer. The name is empty for a seed.
func (g *Group) exchange(ctx context.Context, name, url string) {
	report := g.exchangedReport()
	g.mu.Lock()
	request := &wire.ExchangeRequest{
		From:    encodeMember(g.members.Self()),
		Report:  report.encode(),
		Updates: encodeMembers(g.members.Updates(name)),
	}
	g.mu.Unlock()
	sentAt := callTime{clock: g.Clock.Now(), steady: g.steadyNow()}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(url, g.client).Exchange(callCtx, request)
	if err == nil {
		err = g.receive(sentAt, response.From, response.Report, response.Updates, true)
	}
	if err != nil && ctx.Err() == nil && !g.logRejection(name, "Exchange", err) {
		g.mu.Lock()
		g.members.Failed(g.Clock.Now(), name)
		g.mu.Unlock()
	}
}

// callTime is when a call was sent, on Clock and Steady.
type callTime struct{ clock, steady time.Time }

func (g *Group) steadyNow() time.Time {
	if g.Steady == nil {
		return g.Clock.Now()
	}
	return g.Steady.Now()
}

// exchangedReport returns the report for an exchange, which has no loads if these are collected.
func (g *Group) exchangedReport() Report {
	report := g.ownReport()
	g.mu.Lock()
	collected := g.collectsLoads()
	g.mu.Unlock()
	if !collected {
		report.Loads = g.Local.PeerLoads()
	}
	return report
}

// collectsLoads reports whether collectors add up the loads of the hosts. The caller must hold g.mu.
func (g *Group) collectsLoads() bool {
	return g.CollectLoads && g.members.AliveCount() > collectAbove
}

// ownReport returns the report of this host without loads, including the highest revision and the
// latest contact with the table service that peers have reported to it.
func (g *Group) ownReport() Report {
	report := g.Local.PeerReport()
	report.Ready = g.Ready()
	if g.Tables != nil {
		for table, state := range g.Tables.States() {
			report.Tables = append(report.Tables, TableVersion{Table: table, CopyState: state})
		}
	}
	report.ContactAge, report.ContactKnown = g.LatestContactAge()
	if g.Records == nil {
		return report
	}
	report.Revision = g.Records.Current().Revision
	report.HighestRevision = max(report.Revision, g.HighestRevision())
	return report
}

// LatestContactAge returns the time since this host itself or, according to a report,
// a peer last reached the table service. It returns false if no contact is known.
func (g *Group) LatestContactAge() (time.Duration, bool) {
	contact := g.Contact
	if contact == nil && g.Records != nil {
		contact = g.Records
	}
	if contact == nil {
		return g.ContactAge()
	}
	own, known := contact.ContactAge()
	reported, reportedKnown := g.ContactAge()
	switch {
	case known && reportedKnown:
		return min(own, reported), true
	case known:
		return own, true
	default:
		return reported, reportedKnown
	}
}

// receive validates and applies a peer's message. What can't be used is logged and left out. The
// contact with the table service and the ages of copies that the message reports are only used if
// answer is set, that is, if the message answers a request that this host sent at sentAt. The peer
// wrote the answer after that, so the contact is no older than sentAt minus the reported age. A
// request of a peer has no such limit, because it may have been in transit for any time.
func (g *Group) receive(sentAt callTime, from *wire.Member, report *wire.Report, updates []*wire.Member, answer bool) error {
	sender, err := senderName(from)
	if err != nil {
		return err
	}
	var fields unusableFields
	member, usable := fields.decodeMember(from)
	members, membersErr := decodeMembers(updates, maxUpdates)
	now := g.Clock.Now()
	g.mu.Lock()
	if usable {
		g.members.ReceivedFrom(now, member)
	}
	g.members.Merge(now, members)
	g.mu.Unlock()
	known := g.member(sender)
	g.logUnusable(&known, fields.err())
	g.logUnusable(&known, membersErr)
	if report == nil {
		g.logUnusable(&known, unusableFields{{field: "Exchange.report", value: "missing"}})
		return nil
	}
	decoded, reportErr := decodeReport(report)
	g.logUnusable(&known, reportErr)
	g.applyReport(sentAt, sender, decoded, answer)
	return nil
}

// applyReport applies the report of a host. That of a host which is no member isn't kept.
func (g *Group) applyReport(sentAt callTime, sender string, report Report, answer bool) {
	g.mu.Lock()
	if _, known := g.members.Get(sender); known {
		g.reports[sender] = receivedReport{report: report, at: g.Clock.Now()}
		g.updateNewestRows(sender, report.Tables)
	}
	if at := sentAt.clock.Add(-report.ContactAge); answer && report.ContactKnown && at.After(g.contactAt) {
		if at.Sub(g.contactAt) >= contactGap {
			g.contactResumedAt = at
		}
		g.contactAt = at
	}
	higher := report.HighestRevision > g.highestRevision
	g.highestRevision = max(g.highestRevision, report.HighestRevision)
	g.mu.Unlock()
	if answer {
		g.confirmTables(sentAt.steady, report.Tables)
	}
	if higher && g.Records != nil {
		g.Records.Wake()
	}
	g.Local.MergeSuspects(report.Suspects)
	g.Local.MergeLeaving(report.Leaving)
	g.Local.MergeLimits(report.Limits)
	g.Local.MergeBrittle(report.Brittle)
}

// HighestRevision returns the highest revision that any peer has reported.
func (g *Group) HighestRevision() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestRevision
}

// ContactAge returns the age of the latest contact with the table service that a peer
// has reported. It returns false if none is known.
func (g *Group) ContactAge() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.contactAt.IsZero() {
		return 0, false
	}
	return g.Clock.Now().Sub(g.contactAt), true
}

// ReachesMajority reports whether a majority of the entry hosts is alive according to
// the last exchanges. It counts the hosts in the host list that are not leaving, and the
// known members that have not left.
func (g *Group) ReachesMajority() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	voters := map[string]bool{g.Self.Name: true}
	for name := range g.listedHosts {
		voters[name] = true
	}
	for _, m := range g.members.Members() {
		if m.Status != membership.Left {
			voters[m.Name] = true
		}
	}
	return 2*g.members.AliveCount() > len(voters)
}
