package bounded

import "sync"

// Budget limits the bytes that a host holds at the same time of what others send. A nil Budget has
// no limit.
type Budget struct {
	// Limit is the limit in bytes.
	Limit int64

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
	if b.taken+n > b.Limit {
		return false
	}
	b.taken += n
	return true
}

func (b *Budget) giveBack(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
}

const (
	// freeBytes are held without the budget, so that a short body never finds it used up by long ones.
	freeBytes = 16 << 10
	// stepBytes is the unit in which bytes are taken from the budget.
	stepBytes = 64 << 10
)

// Hold is what one body has taken from a budget. It is not safe for concurrent use.
type Hold struct {
	Budget *Budget

	taken int64
}

// Extend takes what n bytes need in all, and reports whether the budget had room.
func (h *Hold) Extend(n int64) bool {
	if n <= freeBytes+h.taken {
		return true
	}
	more := (n - freeBytes - h.taken + stepBytes - 1) / stepBytes * stepBytes
	if !h.Budget.take(more) {
		return false
	}
	h.taken += more
	return true
}

// Release gives back what was taken.
func (h *Hold) Release() {
	h.Budget.giveBack(h.taken)
	h.taken = 0
}
