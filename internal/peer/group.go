package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// exchangeTimeout bounds one exchange, so that a silent peer doesn't hold up
	// the rounds.
	exchangeTimeout = time.Second
	// hostListEvery is the time between two looks at the platform's host list.
	hostListEvery = 2 * time.Second
	// reportFor is how long a peer's report is used.
	reportFor = 10 * time.Second
	// maxMembers bounds the answer to a request for all members.
	maxMembers = 65536
	// updatesPerMessage bounds the membership updates in one message.
	updatesPerMessage = 16
)

// HostLister gives the platform's lagging host list.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// LocalProvider gives what this host tells its peers and takes what they tell.
type LocalProvider interface {
	// PeerReport describes this host. Revisions are filled in by the Group.
	PeerReport() Report
	// MergeSuspects takes in the suspects of a peer.
	MergeSuspects(suspects []Suspect)
}

// PoolDecider decides for other hosts as the home of a pool.
type PoolDecider interface {
	// DecideFor admits and places a request of another host.
	DecideFor(ctx context.Context, request *wire.DecideRequest) (*wire.DecideResponse, error)
	// ObserveFor takes in what became of decisions for another host.
	ObserveFor(request *wire.ObserveRequest)
}

// TargetWatcher hears of targets that leave.
type TargetWatcher interface {
	// TargetLeaving notes that the host list shows a target as leaving.
	TargetLeaving(name string)
}

// RecordFollower gives and follows the records in force.
type RecordFollower interface {
	Current() *record.Set
	ContactAge() (time.Duration, bool)
	CatchupFor(since int64) recordstore.Catchup
	Wake()
}

// Group is this host's place among the entry hosts. The exported fields are
// set before Run.
type Group struct {
	Self     membership.Member
	Params   membership.Params
	Interval time.Duration
	FanOut   int
	Seeds    []string
	HostList HostLister
	Clock    clock.Clock
	Log      *log.Logger
	HTTP     *http.Client
	Local    LocalProvider
	// Pools, Watcher and Records may be nil on hosts whose configuration and
	// list of targets lie in the table service.
	Pools   PoolDecider
	Watcher TargetWatcher
	Records RecordFollower
	// Tables may be nil on hosts that follow none.
	Tables TableSource
	Ledger LedgerTable
	// LoadMaxAge is how long the loads in a peer's report are used.
	LoadMaxAge time.Duration
	// Ready tells whether the balancer may send requests to this host.
	Ready func() bool

	mu      sync.Mutex
	rng     *rand.Rand
	table   *membership.Table
	reports map[string]timedReport
	listed  map[string]bool
	contact time.Time
	highest int64
	batches keptBatches
}

type timedReport struct {
	report Report
	at     time.Time
}

// Init prepares the group. It must be called once before any other method.
func (g *Group) Init() {
	params := g.Params
	params.UpdatesPerMessage = updatesPerMessage
	if g.LoadMaxAge == 0 {
		g.LoadMaxAge = reportFor
	}
	g.rng = rand.New(rand.NewPCG(uint64(g.Self.Incarnation), 1))
	g.table = membership.NewTable(g.Self, params)
	g.reports = map[string]timedReport{}
	g.listed = map[string]bool{}
}

// Run takes part in the group until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() {
		g.readHostList(ctx)
		clock.Every(ctx, g.Clock, hostListEvery, g.readHostList)
	})
	duties.Go(func() { clock.Every(ctx, g.Clock, g.Interval, g.round) })
	duties.Go(func() { clock.Every(ctx, g.Clock, batchEvery, g.writeBatches) })
	duties.Wait()
	return nil
}

// Leave tells some peers that this host goes for good.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.table.Leave()
	g.mu.Unlock()
	g.round(ctx)
}

// round exchanges messages with the next partners.
func (g *Group) round(ctx context.Context) {
	g.mu.Lock()
	g.table.Tick(g.Clock.Now())
	partners := g.table.Partners(g.rng, g.FanOut)
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, partner := range partners {
		calls.Go(func() { g.exchange(ctx, partner.Name, partner.URL) })
	}
	calls.Wait()
}

// readHostList learns of hosts from the platform and from the seeds.
func (g *Group) readHostList(ctx context.Context) {
	hosts, err := g.HostList.Hosts(ctx)
	if err == nil {
		g.takeHostList(hosts)
	}
	g.mu.Lock()
	alone := g.table.AliveCount() == 1
	g.mu.Unlock()
	if !alone {
		return
	}
	for _, seed := range g.Seeds {
		g.exchange(ctx, "", seed)
		if err := g.joinAll(ctx, seed); err != nil {
			g.Log.Warn().Str("part", "peers").Str("seed", seed).Err(err).Msg("peers: seed gives no members")
		}
	}
}

func (g *Group) takeHostList(hosts []platform.Host) {
	g.mu.Lock()
	listed := map[string]bool{}
	var leaving []string
	for _, host := range hosts {
		switch {
		case host.Kind == "target" && host.Leaving:
			leaving = append(leaving, host.Name)
		case host.Kind == "entry" && !host.Leaving:
			listed[host.Name] = true
			if _, known := g.table.Get(host.Name); !known && host.Name != g.Self.Name {
				g.table.Merge(g.Clock.Now(), []membership.Member{{Name: host.Name, URL: host.URL, FailureDomain: host.FailureDomain}})
			}
		}
	}
	g.listed = listed
	g.mu.Unlock()
	for _, name := range leaving {
		if g.Watcher != nil {
			g.Watcher.TargetLeaving(name)
		}
	}
}

// exchange swaps messages with one peer.
func (g *Group) exchange(ctx context.Context, name, url string) {
	report := g.ownReport()
	g.mu.Lock()
	request := &wire.ExchangeRequest{
		From:    encodeMember(g.table.Self()),
		Report:  report.encode(),
		Updates: encodeMembers(g.table.Updates(name)),
	}
	g.mu.Unlock()
	sentAt := g.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(url, g.HTTP).Exchange(callCtx, request)
	if err == nil {
		err = g.take(sentAt, response.From, response.Report, response.Updates, true)
	}
	if err != nil && ctx.Err() == nil {
		g.mu.Lock()
		g.table.Failed(g.Clock.Now(), name)
		g.mu.Unlock()
	}
}

// ownReport describes this host with the revisions and the contact it knows.
func (g *Group) ownReport() Report {
	report := g.Local.PeerReport()
	report.Ready = g.Ready()
	if g.Tables != nil {
		for table, version := range g.Tables.NewestVersions() {
			report.Tables = append(report.Tables, TableVersion{Table: table, Version: version})
		}
	}
	if g.Records == nil {
		return report
	}
	report.Revision = g.Records.Current().Revision
	report.HighestRevision = max(report.Revision, g.HighestRevision())
	report.ContactAge, report.ContactKnown = g.bestContact()
	return report
}

// bestContact returns the age of the latest contact with the table service
// that this host had or heard of.
func (g *Group) bestContact() (time.Duration, bool) {
	own, known := g.Records.ContactAge()
	heard, heardKnown := g.ContactAge()
	switch {
	case known && heardKnown:
		return min(own, heard), true
	case known:
		return own, true
	default:
		return heard, heardKnown
	}
}

// take checks and takes in a peer's message. Only an answer to an own request
// bounds the age of what it says.
func (g *Group) take(sentAt time.Time, from *wire.Member, report *wire.Report, updates []*wire.Member, answer bool) error {
	member, err := decodeMember(from)
	if err != nil {
		return err
	}
	told, err := decodeReport(report)
	if err != nil {
		return err
	}
	news, err := decodeMembers(updates, maxUpdates)
	if err != nil {
		return err
	}
	now := g.Clock.Now()
	g.mu.Lock()
	g.table.ReceivedFrom(now, member)
	g.table.Merge(now, news)
	g.reports[member.Name] = timedReport{report: told, at: now}
	if at := sentAt.Add(-told.ContactAge); answer && told.ContactKnown && at.After(g.contact) {
		g.contact = at
	}
	higher := told.HighestRevision > g.highest
	g.highest = max(g.highest, told.HighestRevision)
	g.mu.Unlock()
	if higher && g.Records != nil {
		g.Records.Wake()
	}
	g.Local.MergeSuspects(told.Suspects)
	return nil
}

// HighestRevision returns the highest revision that peers have told of.
func (g *Group) HighestRevision() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}

// ContactAge returns how long ago any host that this one has heard of was in
// contact with the table service.
func (g *Group) ContactAge() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.contact.IsZero() {
		return 0, false
	}
	return g.Clock.Now().Sub(g.contact), true
}

// ReachesMajority reports whether most of the listed and known entry hosts
// live by the last exchanges of messages.
func (g *Group) ReachesMajority() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	electorate := map[string]bool{g.Self.Name: true}
	for name := range g.listed {
		electorate[name] = true
	}
	for _, m := range g.table.Members() {
		if m.Status != membership.Left {
			electorate[m.Name] = true
		}
	}
	return 2*g.table.AliveCount() > len(electorate)
}

// Catchup asks peers for the records behind a revision, those with the highest
// revision first.
func (g *Group) Catchup(ctx context.Context, since int64) (recordstore.Catchup, error) {
	best := g.richest(since)
	if len(best) == 0 {
		return recordstore.Catchup{}, errors.New("no peer has told of a higher revision")
	}
	var failed error
	for _, m := range best {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := wire.NewPeerProtobufClient(m.URL, g.HTTP).Catchup(ctx, &wire.CatchupRequest{Since: since})
		cancel()
		if err == nil {
			return decodeCatchup(response)
		}
		failed = err
	}
	return recordstore.Catchup{}, fmt.Errorf("asking peers for records: %w", failed)
}

// richest returns up to three live peers with the highest revision above since.
func (g *Group) richest(since int64) []membership.Member {
	const asked = 3
	g.mu.Lock()
	defer g.mu.Unlock()
	var best []membership.Member
	for _, m := range g.table.Members() {
		report, told := g.reports[m.Name]
		if !told || m.Status != membership.Alive || report.report.Revision <= since {
			continue
		}
		if report.report.Revision == g.highest {
			best = append([]membership.Member{m}, best...)
		} else {
			best = append(best, m)
		}
	}
	return best[:min(asked, len(best))]
}

func decodeCatchup(response *wire.CatchupResponse) (recordstore.Catchup, error) {
	catchup := recordstore.Catchup{Revision: response.Revision, Full: response.Whole}
	for _, data := range response.Changes {
		var change record.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return catchup, fmt.Errorf("decoding records of a peer: %w", err)
		}
		catchup.Changes = append(catchup.Changes, change)
	}
	return catchup, nil
}
