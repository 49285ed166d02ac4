// Package seeder fixes the random seed of property-based tests, so that test runs without flags are reproducible.
//
// It sets the default of rapid's flag -rapid.seed to 1, and turns off the files
// that rapid writes for failed tests. It generates no test data.
//
// # Usage
//
// Import it in a test file of each package whose tests use rapid and do not set its flags themselves:
//
//	import _ "github.com/papayaworks/papayaworks/internal/seeder"
//
// The flag -rapid.seed on the command line overrides the seed.
package seeder

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the flag no longer exists in this version of rapid
		}
	}
}
