// Package roomqueue decides at the owner of a shard which requests begin now, which wait
// for room and which are refused, and how urgent those that begin are at their target. It
// addresses demand above the room of the targets: bursts of long prompts beside short
// urgent ones, one client account that sends most of the requests, callers that retry at
// once, and an owner that takes over targets that are busy. It performs no I/O, reads no
// clock and starts no goroutine. The caller serializes access.
package roomqueue

import "time"

const (
	// leastUrgent is the urgency of the requests that a target begins last.
	leastUrgent = 9
	// lateUrgency is the urgency of the first requests that can't meet their objective.
	// More urgent values are left to those that can.
	lateUrgency = 7
	// latePriority is the priority by which room for more urgent requests is kept from
	// late ones: all priorities are more urgent.
	latePriority = priorities
	// priorities is the number of distinct priorities. Higher ones count as
	// the last.
	priorities = 10
)

// Job is a request that waits for room or runs.
type Job struct {
	// Account is the client account, and Weight its weight in fair sharing; 0 counts as 1.
	Account string
	Weight  float64
	// Priority is 0 for the most urgent requests.
	Priority int
	// Retry is set if the caller was refused before.
	Retry bool
	// Immediate is set if the caller ends the job unless the decisions after Add place it. Until it
	// is placed it counts neither as demand nor as one that waits, and no room is kept for it.
	Immediate bool
	// Tokens is the memory that the request holds while it runs: prompt and expected
	// answer.
	Tokens int
	// Prefill is the number of prompt tokens that have to be computed.
	Prefill int
	// Objective is the latest time of the first event, zero for none.
	Objective time.Time
	// Deadline is the time after which the answer is of no use, zero for none. Answer is
	// the expected time from the first event to the complete answer.
	Deadline time.Time
	Answer   time.Duration

	state state
	// late is set once the job ranks behind those that can meet their objective.
	late bool
	// startTag is the start tag of fair queueing. number is the order of arrival.
	startTag float64
	number   uint64

	// The following are valid while the job runs.
	target  *target
	urgency int
	// reserved is Tokens when the job was placed, and remaining the prompt tokens that
	// the target is expected to compute still.
	reserved  int
	remaining float64
	placedAt  time.Time
}

type state int

const (
	stateNew state = iota
	stateWaiting
	// stateComputing means that the job runs and has no first event yet.
	stateComputing
	stateAnswering
	stateEnded
)

// level returns the priority, limited to the highest distinct one.
func (j *Job) level() int {
	return min(max(j.Priority, 0), priorities-1)
}

// urgencyFor returns the urgency at the target, from 0, the most urgent, to 9.
func (j *Job) urgencyFor(late bool) int {
	if late {
		return min(lateUrgency+j.level(), leastUrgent)
	}
	return min(j.level(), lateUrgency-1)
}

// limitLevel returns the priority by which room is kept for more urgent requests.
func (j *Job) limitLevel() int {
	if j.late {
		return latePriority
	}
	return j.level()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
