package admission_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/admission"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var begin = time.Unix(1000, 0)

// Two accounts that always have work get admitted work in proportion to their
// weights, whatever the sizes of their jobs are.
func TestWorkIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(admission.Params{QueuePerAccount: 1000, LongPercent: 100})
		q.SetCapacity(1)
		weights := map[string]float64{"a": float64(rapid.IntRange(1, 4).Draw(t, "a")), "b": float64(rapid.IntRange(1, 4).Draw(t, "b"))}
		const most = 100
		for name, weight := range weights {
			q.SetAccount(name, weight, admission.Limits{})
			for range 400 {
				job := &admission.Job{Account: name, Work: float64(rapid.IntRange(1, most).Draw(t, "work")), Deadline: begin.Add(time.Hour)}
				if refusal := q.Enqueue(begin, job); refusal != nil {
					t.Fatal(refusal)
				}
			}
		}
		work := map[string]float64{}
		for range 300 {
			job := q.Next(begin)
			work[job.Account] += job.Work
			q.Done(job, job.Work)
		}
		if difference := math.Abs(work["a"]/weights["a"] - work["b"]/weights["b"]); difference > 2*most {
			t.Fatalf("shares differ by %.0f tokens: %v with weights %v", difference, work, weights)
		}
	})
}

// A host that begins to admit, as it does when the home of its pool is lost,
// doesn't take the first moments for the rate at which it will go on.
func TestNothingIsRefusedByTheRateOfTheFirstMoments(t *testing.T) {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 256, LongPercent: 100})
	q.SetCapacity(2)
	now := begin
	offer := func() *admission.Refusal {
		return q.Enqueue(now, &admission.Job{Account: "a", Work: 1, Deadline: now.Add(20 * time.Second)})
	}
	for range 2 {
		if refusal := offer(); refusal != nil {
			t.Fatal(refusal)
		}
		q.Next(now)
	}
	for i := range 60 {
		now = now.Add(5 * time.Millisecond)
		if refusal := offer(); refusal != nil {
			t.Fatalf("request %d is refused: %v", i, refusal)
		}
	}
}

// The queue is bounded, keeps its capacity and loses no job.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, perAccount = 5, 4
		q := admission.NewQueue(admission.Params{QueuePerAccount: perAccount, LongPercent: 40, ReservePercent: 20})
		q.SetCapacity(capacity)
		q.SetAccount("a", 1, admission.Limits{InFlight: 2})
		now := begin
		var running []*admission.Job
		offered, refused, expired, done := 0, 0, 0, 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				job := &admission.Job{
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), Work: 10,
					Long: rapid.Bool().Draw(t, "long"), Deadline: now.Add(20 * time.Second),
				}
				offered++
				if q.Enqueue(now, job) != nil {
					refused++
				}
			case 2:
				if len(running) > 0 {
					q.Done(running[0], 12)
					running = running[1:]
					done++
				}
			case 3:
				now = now.Add(5 * time.Second)
				expired += len(q.RemoveExpired(now))
			}
			long, inFlight := 0, 0
			for job := q.Next(now); job != nil; job = q.Next(now) {
				running = append(running, job)
			}
			for _, job := range running {
				if job.Long {
					long++
				}
				if job.Account == "a" {
					inFlight++
				}
			}
			if len(running) > capacity || long > 2 || inFlight > 2 {
				t.Fatalf("running %d, long %d, of account a %d", len(running), long, inFlight)
			}
			if offered != refused+expired+done+len(running)+q.Waiting() {
				t.Fatalf("offered %d, refused %d, expired %d, done %d, running %d, waiting %d", offered, refused, expired, done, len(running), q.Waiting())
			}
		}
	})
}

// An account's limits hold over all hosts: the shares never add up to more
// than the whole by more than the part that each idle host keeps.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 50).Draw(t, "hosts")
		var demand []float64
		total := 0.0
		for range hosts {
			d := float64(rapid.IntRange(0, 100).Draw(t, "demand"))
			demand = append(demand, d)
			total += d
		}
		sum := 0.0
		for _, d := range demand {
			sum += admission.LimitShare(d, total, hosts, true)
		}
		if sum > 1.000001 {
			t.Fatalf("shares of %d hosts add up to %f", hosts, sum)
		}
	})
}

// A rate limit admits no more than its rate and one burst.
func TestRateLimit(t *testing.T) {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 10_000, LongPercent: 100})
	q.SetCapacity(1000)
	const limit = 100.0
	q.SetAccount("a", 1, admission.Limits{TokensPerSecond: limit})
	for range 500 {
		_ = q.Enqueue(begin, &admission.Job{Account: "a", Work: 10, Deadline: begin.Add(time.Hour)})
	}
	admitted := 0.0
	const seconds = 20
	for tick := range seconds * 10 {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		for job := q.Next(now); job != nil; job = q.Next(now) {
			admitted += job.Work
		}
	}
	if most := limit * (seconds + 2); admitted > most || admitted < limit*seconds*0.9 {
		t.Errorf("admitted %.0f tokens in %d s at %.0f a second", admitted, seconds, limit)
	}
}

// BenchmarkOfferNext gives the time of one job with the given number of
// accounts that have work.
func BenchmarkOfferNext(b *testing.B) {
	for _, n := range []int{10, 100, 690} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q := admission.NewQueue(admission.Params{QueuePerAccount: 100, LongPercent: 100})
			q.SetCapacity(1)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				_ = q.Enqueue(begin, &admission.Job{Account: names[i], Work: 10, Deadline: begin.Add(time.Hour)})
			}
			for i := range b.N {
				_ = q.Enqueue(begin, &admission.Job{Account: names[i%n], Work: 10, Deadline: begin.Add(time.Hour)})
				q.Done(q.Next(begin), 10)
			}
		})
	}
}
