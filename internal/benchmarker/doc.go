// Package benchmarker measures the routing, placement and link policies against baselines on virtual time.
//
// Its benchmark plays seeded workloads on arithmetic models of engines, stores
// and links and reports what callers and links saw. See docs/measurements.md
// for the assumptions and the results.
//
// # Usage
//
//	go test -run '^$' -bench Policies -benchtime 1x ./internal/benchmarker
package benchmarker
