// Package ledger runs each non-repeatable call at most once.
//
// The ledger is a fold of records on streams of the platform's log. Before an
// instance sends a non-repeatable call to its target it appends an intent and
// reads its stream back; only the first intent of a key in log order holds the
// key, and only its owner may send the call. Nobody takes over: if the owner
// dies, every later caller is told that the outcome is unknown.
//
//   - intent: an attempt wants the key. It holds the key if the key is free.
//   - abandon: the owner gives the key back, only before the first byte was sent.
//   - done: the outcome. Status 0 says that the call was sent and its outcome is not known.
//
// An attempt that was abandoned never holds a key, so an intent that arrives late
// has no effect, and records that occur twice do no harm. Decisions rest on what
// was read back and never on the response of an append.
//
// A caller is told one of three things: the response, "not run" or "outcome
// unknown". "Not run" speaks of the try that it answers: that try has started no
// run and never will. It is given if no intent can have been written, or after the
// abandon was read back. A caller with an earlier try of the same key that ended
// without an answer or with "outcome unknown" must still count the key as unknown.
//
// [Fold] and [Attempt] decide and have no goroutines, clocks or sockets; [Ledger]
// drives them.
//
// # Usage
//
//	l := &ledger.Ledger{Log: client, Owner: "kochi-a-1", Partitions: 1, Retention: 24 * time.Hour}
//	l.Start(ctx)
//	res := l.Do(ctx, ledger.Request{Account: "dispatch", Key: key, BodyHash: hash, Deadline: t}, send)
//
// # Memory
//
// A key takes one [entry] in a map and one place in a queue until the retention
// has passed; bodies of outcomes stay on the log and are read when a retry asks.
// BenchmarkLedgerMemory measures the bytes for a key.
package ledger
