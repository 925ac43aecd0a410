//go:build race

package bubble

// Go 1.26 runs expired timers of a bubble on several processors with one race context, on
// which the race detector ends the process.
const oneProcessor = true
