// Package benchmarker compares the routing, placement and link policies with baselines by simulation in virtual time.
//
// Its benchmarks play seeded workloads on discrete-event models of engines,
// stores and links, and report latencies at the callers and traffic on the
// links. See docs/measurements.md for the assumptions and the results.
//
// # Usage
//
//	go test -run '^$' -bench Policies -benchtime 1x ./internal/benchmarker
package benchmarker
