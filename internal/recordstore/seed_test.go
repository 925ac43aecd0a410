package recordstore_test

import "flag"

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
