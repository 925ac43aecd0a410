// Package bubble runs tests in bubbles of testing/synctest.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

var mu sync.Mutex

// Test runs f in a bubble, as synctest.Test does. Where oneProcessor is set, its goroutines
// share one processor.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if oneProcessor {
		mu.Lock()
		defer mu.Unlock()
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
