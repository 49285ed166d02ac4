// Package seeder fixes the seed of randomised tests, so that a run without flags gives the same verdict every time.
//
// # Usage
//
// A package whose tests use rapid imports this one in a test file:
//
//	import _ "github.com/papayaworks/papayaworks/internal/seeder"
//
// The flags -rapid.seed, -rapid.checks and -rapid.steps override it.
package seeder

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid has renamed its flags
		}
	}
}
