package booking_test

import "flag"

// The properties are checked with the same steps in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
