//go:build !race

package bubble

const oneProcessor = false
