package bounded

import "sync"

// Budget limits the bytes that a host holds at the same time of what others send. A nil Budget has
// no limit.
type Budget struct {
	// Limit is the limit in bytes.
	Limit int64
	// Parent limits the bytes of several budgets together, unless it is nil.
	Parent *Budget

	mu    sync.Mutex
	taken int64
}

// Taken returns the bytes that are held.
func (b *Budget) Taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// take takes n bytes unless that would exceed the limit, and reports whether it has. It never waits,
// so that none that holds bytes waits for those of another.
func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken+n > b.Limit || !b.Parent.take(n) {
		return false
	}
	b.taken += n
	return true
}

func (b *Budget) giveBack(n int64) {
	if b == nil {
		return
	}
	b.Parent.giveBack(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
}

// countFree adds bytes that are held without this budget to those of its parent, beyond the limit if
// need be, so that what is limited leaves room for them.
func (b *Budget) countFree(n int64) {
	if b == nil || b.Parent == nil {
		return
	}
	b.Parent.mu.Lock()
	defer b.Parent.mu.Unlock()
	b.Parent.taken += n
}

const (
	// freeBytes are held without the budget, so that a short body never finds it used up by long ones.
	freeBytes = 16 << 10
	// freeStepBytes is the unit in which they are counted.
	freeStepBytes = 4 << 10
	// stepBytes is the unit in which bytes are taken from the budget.
	stepBytes = 64 << 10
)

// Hold is what one body has taken from a budget. It is not safe for concurrent use.
type Hold struct {
	Budget *Budget

	taken, free int64
}

// Extend takes what n bytes need in all, and reports whether the budget had room. If not, it takes nothing.
func (h *Hold) Extend(n int64) bool {
	if n > freeBytes+h.taken {
		more := (n - freeBytes - h.taken + stepBytes - 1) / stepBytes * stepBytes
		if !h.Budget.take(more) {
			return false
		}
		h.taken += more
	}
	if free := min((n+freeStepBytes-1)/freeStepBytes*freeStepBytes, freeBytes); free > h.free {
		h.Budget.countFree(free - h.free)
		h.free = free
	}
	return true
}

// Release gives back what was taken.
func (h *Hold) Release() {
	h.Budget.giveBack(h.taken)
	h.Budget.countFree(-h.free)
	h.taken, h.free = 0, 0
}
