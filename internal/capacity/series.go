package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Target sizes: the expected size of the system in two years.
const (
	targetHosts    = 490
	targetEngines  = 12_000
	targetAccounts = 690
	targetPrompts  = 240_000
	targetRecords  = 12_000 + 690 + 490
)

// Assumptions about one host and one prompt.
const (
	blocksPerPrompt = 8
	blockTokens     = 2048
	// reportedDemands and reportedLoads are the maximum numbers of client accounts and
	// targets in one report of package dispatch.
	reportedDemands = 16
	reportedLoads   = 24
	// fanOut is the number of exchanges that a host starts per second. It answers as
	// many on average.
	fanOut = 2
	// headerBytes is the size of the HTTP headers of one call between hosts, for
	// request and response together.
	headerBytes = 560
)

var start = time.Unix(1_700_000_000, 0)

// All measures every slope.
func (m *Meter) All() []Slope {
	return []Slope{
		m.membershipBytes(), m.membershipNanos(), m.reportBytes("targets", targetEngines),
		m.placeNanos(), m.placerBytes(), m.admitNanos(), m.admissionBytes(),
		m.pollingBytes(), m.indexBytes(), m.indexNanos(), m.recordBytes(), m.recordNanos(), m.ledgerBytes(),
	}
}

// series calls measure with each size and returns the results as a slope.
func series(name, unit, by string, target int, sizes []int, measure func(n int) float64) Slope {
	s := Slope{Name: name, Unit: unit, By: by, Target: target}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{Size: n, Value: measure(n)})
	}
	return s
}

func memberSizes() []int  { return []int{3, 9, 27, 81} }
func engineSizes() []int  { return []int{12, 100, 800, 4000, 12_000} }
func accountSizes() []int { return []int{10, 100, 690} }
func recordSizes() []int  { return []int{100, 1000, 10_000} }

// newTables returns n membership tables, each of which contains all members.
func newTables(n int) []*membership.Table {
	var tables []*membership.Table
	for i := range n {
		self := membership.Member{Name: fmt.Sprintf("host-%03d", i), URL: "http://10.0.0.1:8082", FailureDomain: "west", Incarnation: 1}
		tables = append(tables, membership.NewTable(self, membership.Params{UpdatesPerMessage: 16}))
	}
	for _, t := range tables {
		for _, other := range tables {
			if other != t {
				t.Merge(start, []membership.Member{other.Self()})
			}
		}
	}
	return tables
}

func newReport(accounts, targets int) peer.Report {
	r := peer.Report{Revision: 1, HighestRevision: 1, ContactKnown: true}
	for i := range accounts {
		r.Demands = append(r.Demands, peer.AccountDemand{Account: fmt.Sprintf("account-%03d", i), TokensPerSecond: 1000, InFlight: 3})
	}
	for i := range targets {
		r.Loads = append(r.Loads, placement.TargetLoad{Target: engineName(i), Requests: 2, PrefillTokens: 4000, Slowness: 1, HeldTokens: 9000})
	}
	return r
}

func engineName(i int) string { return fmt.Sprintf("engine-%05d", i) }

// membershipBytes measures the traffic of a host without pending updates.
func (m *Meter) membershipBytes() Slope {
	return series("membership traffic", "bytes/s per host", "hosts", targetHosts, memberSizes(), func(n int) float64 {
		tables := newTables(n)
		for range 200 {
			_ = tables[0].Updates("")
		}
		own := newReport(reportedDemands, reportedLoads)
		message := peer.MessageBytes(tables[0].Self(), &own, tables[0].Updates(tables[1].Self().Name))
		return 2 * fanOut * float64(2*message+headerBytes)
	})
}

// membershipNanos measures the processor time of a host's exchanges per second.
func (m *Meter) membershipNanos() Slope {
	return series("membership", "ns/s per host", "hosts", targetHosts, memberSizes(), func(n int) float64 {
		tables := newTables(n)
		rng := rand.New(rand.NewPCG(1, 1))
		own := newReport(reportedDemands, reportedLoads)
		return 2 * fanOut * m.nanos(func(int) {
			tables[0].Tick(start)
			partners := tables[0].Partners(rng, 1)
			updates := tables[0].Updates(partners[0].Name)
			_ = peer.MessageBytes(tables[0].Self(), &own, updates)
			tables[0].Merge(start, updates)
		})
	})
}

// reportBytes measures the size of a report with the load of every target.
func (m *Meter) reportBytes(by string, target int) Slope {
	return series("report of loads", "bytes per message", by, target, engineSizes(), func(n int) float64 {
		own := newReport(reportedDemands, n)
		return float64(peer.MessageBytes(membership.Member{Name: "host-000"}, &own, nil))
	})
}

// pollingBytes measures the traffic of a host that polls the load and the cache
// events of every target, each twice a second as in the default settings.
func (m *Meter) pollingBytes() Slope {
	const pollsPerSecond = 2
	const callHeaderBytes = 240
	load, err := json.Marshal(target.LoadReport{Running: 12, Waiting: 3, WaitingTokens: 40_000, Versions: []string{"letters-v1"}, Incarnation: 1})
	if err != nil {
		panic(err)
	}
	events, err := json.Marshal(target.CacheEvents{Incarnation: 1, Events: []target.CacheEvent{{Sequence: 1, Key: promptChain(1)[0].String()}}})
	if err != nil {
		panic(err)
	}
	perTarget := pollsPerSecond * (len(load) + len(events) + 2*callHeaderBytes)
	return series("watching targets", "bytes/s per host", "targets watched", targetEngines, engineSizes(), func(n int) float64 {
		return float64(n * perTarget)
	})
}

func newPlacer(n int) *placement.Placer {
	p := placement.NewPlacer(placement.Params{
		PreferredCount: 8, RandomCount: 8, BlockTokens: blockTokens, IndexEntries: 50_000, LongSlotPercent: 50, SlowRatio: 2, Seed: 1,
	})
	var specs []placement.EngineSpec
	for i := range n {
		specs = append(specs, placement.EngineSpec{Name: engineName(i), Models: []string{"m"}, Slots: 16, PrefillRate: 10_000, TokenGap: 20 * time.Millisecond})
	}
	p.SetEngines(start, specs)
	for i := range n {
		p.ApplyReport(start, engineName(i), placement.LoadReport{Versions: []string{"v"}, Incarnation: 1})
	}
	return p
}

// promptChain returns the keys of the blocks of prompt n.
func promptChain(n int) []prefix.Key {
	keys := make([]prefix.Key, blocksPerPrompt)
	link := prefix.Seed("account", "m", fmt.Sprint(n))
	for i := range keys {
		link = prefix.Seed("account", "m", link.String())
		keys[i] = link
	}
	return keys
}

func (m *Meter) placeNanos() Slope {
	return series("placement", "ns per request", "targets known", targetEngines, engineSizes(), func(n int) float64 {
		p := newPlacer(n)
		var decision placement.Decision
		request := placement.Request{ID: "r", Account: "a", Model: "m", Version: "v", PromptTokens: 16_000, AnswerTokens: 100, Chain: promptChain(1)}
		return m.nanos(func(int) { p.Place(start, &request, &decision) })
	})
}

func (m *Meter) placerBytes() Slope {
	return series("state of targets", "bytes", "targets known", targetEngines, engineSizes(), func(n int) float64 {
		return heapBytes(func() any { return newPlacer(n) })
	})
}

// newQueue returns a queue with one waiting job of each client account.
func newQueue(accounts int) *admission.Queue {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 256, LongPercent: 50})
	q.SetCapacity(100)
	for i := range accounts {
		_ = q.Enqueue(start, &admission.Job{Account: fmt.Sprint("account-", i), Work: 10, Deadline: start.Add(time.Hour)})
	}
	return q
}

func (m *Meter) admitNanos() Slope {
	return series("admission", "ns per request", "accounts with work", targetAccounts, accountSizes(), func(n int) float64 {
		q := newQueue(n)
		return m.nanos(func(i int) {
			_ = q.Enqueue(start, &admission.Job{Account: fmt.Sprint("account-", i%n), Work: 10, Deadline: start.Add(time.Hour)})
			q.Done(q.Next(start), 10)
		})
	})
}

func (m *Meter) admissionBytes() Slope {
	return series("state of accounts", "bytes", "accounts with work", targetAccounts, accountSizes(), func(n int) float64 {
		return heapBytes(func() any { return newQueue(n) })
	})
}

func newIndex(prompts int) *prefix.Index {
	x := prefix.NewIndex(prompts * blocksPerPrompt)
	for i := range prompts {
		for _, key := range promptChain(i) {
			x.Add(key, int32(i%100))
		}
	}
	return x
}

func promptSizes() []int { return []int{1000, 10_000, 60_000, 240_000} }

func (m *Meter) indexBytes() Slope {
	return series("prefix index", "bytes", "returning prompts", targetPrompts, promptSizes(), func(n int) float64 {
		return heapBytes(func() any { return newIndex(n) })
	})
}

func (m *Meter) indexNanos() Slope {
	return series("prefix look-up", "ns per request", "returning prompts", targetPrompts, promptSizes(), func(n int) float64 {
		x := newIndex(n)
		var found []prefix.Holder
		keys := promptChain(n / 2)
		return m.nanos(func(int) { found = x.Holders(found[:0], keys, 8) })
	})
}

func recordChanges(n int) []record.Change {
	spec, err := json.Marshal(record.Target{
		Kind: record.TargetEngine, URL: "http://10.0.0.1:9000", FailureDomain: "west", Models: []string{"m"}, Slots: 16, PrefillTokensPerSecond: 10_000, TokenGapMillis: 20,
	})
	if err != nil {
		panic(err)
	}
	list := make([]record.Change, n)
	for i := range list {
		list[i] = record.Change{Record: record.Record{Kind: record.KindTarget, Schema: 1, Name: engineName(i), Spec: spec}}
	}
	return list
}

func (m *Meter) recordBytes() Slope {
	return series("records", "bytes", "records", targetRecords, recordSizes(), func(n int) float64 {
		return heapBytes(func() any {
			set, _ := record.NewSet().With(1, recordChanges(n))
			return set
		})
	})
}

func (m *Meter) recordNanos() Slope {
	return series("one change in force", "ns", "records", targetRecords, recordSizes(), func(n int) float64 {
		set, _ := record.NewSet().With(1, recordChanges(n))
		one := recordChanges(1)
		return m.nanos(func(int) { _, _ = set.With(2, one) })
	})
}

// countingTable is a table service that counts the bytes of commits.
type countingTable struct {
	bytes int
}

func (c *countingTable) Era() int64 { return 0 }

func (c *countingTable) Scan(context.Context, platform.Scan) ([]platform.Row, error) { return nil, nil }

func (c *countingTable) Commit(_ context.Context, tx platform.Transaction) error {
	for _, write := range tx.Writes {
		c.bytes += len(write.Value)
	}
	return nil
}

func (m *Meter) ledgerBytes() Slope {
	return series("ledger", "bytes written", "placements", 1000, []int{10, 100, 500}, func(n int) float64 {
		table := &countingTable{}
		w := &ledger.Writer{Host: "host-000", Incarnation: 1, Table: table, Clock: m.Clock, BatchRows: 512, BufferRows: 10_000}
		for i := range n {
			w.Add(ledger.Row{
				RequestID: fmt.Sprint("host-000-dnbl9fvyzapk-", i), ClientAccount: "account-001", Model: "letters", Version: "letters-v1",
				Target: engineName(i), PromptTokens: 16_000, AnswerTokens: 230, ReusedTokens: 14_000, At: start,
			})
		}
		if err := w.Flush(context.Background()); err != nil {
			panic(err)
		}
		return float64(table.bytes)
	})
}
