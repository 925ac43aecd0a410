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

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

// The admitted work of two accounts that always have waiting jobs is in
// proportion to their weights, regardless of the sizes of their jobs.
func TestWorkIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(admission.Params{QueuePerAccount: 1000, LongPercent: 100})
		q.SetCapacity(1)
		weights := map[string]float64{"a": float64(rapid.IntRange(1, 4).Draw(t, "a")), "b": float64(rapid.IntRange(1, 4).Draw(t, "b"))}
		const maxWork = 100
		for name, weight := range weights {
			q.SetAccount(name, weight, admission.Limits{})
			for range 400 {
				job := &admission.Job{Account: name, Work: float64(rapid.IntRange(1, maxWork).Draw(t, "work")), Deadline: start.Add(time.Hour)}
				if refusal := q.Enqueue(start, job); refusal != nil {
					t.Fatal(refusal)
				}
			}
		}
		work := map[string]float64{}
		for range 300 {
			job := q.Next(start)
			work[job.Account] += job.Work
			q.Done(job, job.Work)
		}
		if difference := math.Abs(work["a"]/weights["a"] - work["b"]/weights["b"]); difference > 2*maxWork {
			t.Fatalf("work per weight differs by %.0f tokens, want at most 200: %v with weights %v", difference, work, weights)
		}
	})
}

// A host that starts to admit requests, as it does when the pool owner becomes
// unavailable, must not refuse requests because of an admission rate that it has
// measured over a few milliseconds only.
func TestNoRefusalBeforeFirstRateWindow(t *testing.T) {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 256, LongPercent: 100})
	q.SetCapacity(2)
	now := start
	enqueue := func() *admission.Refusal {
		return q.Enqueue(now, &admission.Job{Account: "a", Work: 1, Deadline: now.Add(20 * time.Second)})
	}
	for range 2 {
		if refusal := enqueue(); refusal != nil {
			t.Fatal(refusal)
		}
		q.Next(now)
	}
	for i := range 60 {
		now = now.Add(5 * time.Millisecond)
		if refusal := enqueue(); refusal != nil {
			t.Fatalf("request %d: got %v, want no refusal", i, refusal)
		}
	}
}

// The running jobs keep to the capacity and to the limits, and no job is lost.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, perAccount = 5, 4
		q := admission.NewQueue(admission.Params{QueuePerAccount: perAccount, LongPercent: 40, ReservePercent: 20})
		q.SetCapacity(capacity)
		q.SetAccount("a", 1, admission.Limits{InFlight: 2})
		now := start
		var running []*admission.Job
		submitted, refused, expired, done := 0, 0, 0, 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				job := &admission.Job{
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), Work: 10,
					Long: rapid.Bool().Draw(t, "long"), Deadline: now.Add(20 * time.Second),
				}
				submitted++
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
				t.Fatalf("got %d jobs running, %d of them long, %d of account a; want at most 5, 2 and 2", len(running), long, inFlight)
			}
			if submitted != refused+expired+done+len(running)+q.Waiting() {
				t.Fatalf("jobs don't add up: submitted %d, refused %d, expired %d, done %d, running %d, waiting %d", submitted, refused, expired, done, len(running), q.Waiting())
			}
		}
	})
}

// The shares of an account limit on all hosts never add up to more than 1, so
// that the limit holds across hosts.
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
			t.Fatalf("shares of %d hosts add up to %f, want at most 1", hosts, sum)
		}
	})
}

// A rate limit admits no more than its rate plus one burst, and at least 90% of
// its rate.
func TestRateLimit(t *testing.T) {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 10_000, LongPercent: 100})
	q.SetCapacity(1000)
	const limit = 100.0
	q.SetAccount("a", 1, admission.Limits{TokensPerSecond: limit})
	for range 500 {
		_ = q.Enqueue(start, &admission.Job{Account: "a", Work: 10, Deadline: start.Add(time.Hour)})
	}
	admitted := 0.0
	const seconds = 20
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for job := q.Next(now); job != nil; job = q.Next(now) {
			admitted += job.Work
		}
	}
	if maxTokens := limit * (seconds + 2); admitted > maxTokens || admitted < limit*seconds*0.9 {
		t.Errorf("admitted %.0f tokens in %d s with a limit of %.0f per second, want 1800 to 2200", admitted, seconds, limit)
	}
}

// BenchmarkEnqueueNext measures the time of one job for different numbers of
// accounts that have waiting jobs.
func BenchmarkEnqueueNext(b *testing.B) {
	for _, n := range []int{10, 100, 690} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q := admission.NewQueue(admission.Params{QueuePerAccount: 100, LongPercent: 100})
			q.SetCapacity(1)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				_ = q.Enqueue(start, &admission.Job{Account: names[i], Work: 10, Deadline: start.Add(time.Hour)})
			}
			for i := range b.N {
				_ = q.Enqueue(start, &admission.Job{Account: names[i%n], Work: 10, Deadline: start.Add(time.Hour)})
				q.Done(q.Next(start), 10)
			}
		})
	}
}

// Jobs that expire in the queue have taken no capacity. Later jobs of their account must
// not wait behind those of others for them.
func TestExpiredJobsDoNotCount(t *testing.T) {
	q := admission.NewQueue(admission.Params{QueuePerAccount: 100, LongPercent: 100})
	q.SetCapacity(1)
	enqueue := func(account string, deadline time.Time) *admission.Job {
		job := &admission.Job{Account: account, Work: 100, Deadline: deadline}
		if refusal := q.Enqueue(start, job); refusal != nil {
			t.Fatal(refusal)
		}
		return job
	}
	for range 20 {
		enqueue("a", start.Add(time.Second))
	}
	if expired := q.RemoveExpired(start.Add(2 * time.Second)); len(expired) != 20 {
		t.Fatalf("%d jobs expired, want 20", len(expired))
	}
	for range 5 {
		enqueue("b", start.Add(time.Hour))
	}
	wanted := enqueue("a", start.Add(time.Hour))
	for n := 1; ; n++ {
		job := q.Next(start.Add(3 * time.Second))
		if job == wanted {
			if n > 2 {
				t.Errorf("the job of the account with expired jobs was number %d, want its share: at most 2", n)
			}
			return
		}
		q.Done(job, job.Work)
	}
}
