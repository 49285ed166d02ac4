// Package ledger executes each non-repeatable (non-idempotent) request at most once per idempotency key.
//
// Its state is a fold over the records of streams of the platform's log. Before an
// instance sends a non-repeatable request to its target, it appends an intent and
// reads the stream back. Only the first intent of a key in log order holds the
// key, and only the owner of that attempt may send the request. There is no
// takeover: if the owner dies while it holds the key, every later attempt with the
// key and the same body ends with "outcome unknown".
//
//   - intent: an attempt requests the key. It holds the key if the key is free.
//   - abandon: the owner releases the key, only before the first byte was sent.
//   - done: the outcome. Status 0 means that the request was sent and its outcome is unknown.
//
// An abandoned attempt never holds a key, so a late intent has no effect, and
// duplicate records are harmless. Decisions depend on the records read back, never
// on the response to an append.
//
// Unless its key is invalid or belongs to a request with another body, an attempt
// ends with one of three outcomes: the response, "not run" or "outcome unknown".
// "Not run" refers to this attempt only: it has not started a run and never will.
// It is returned if no intent can have been written, or after the abandon was read
// back. If an earlier attempt with the same key ended without a response or with
// "outcome unknown", the caller must still treat the outcome of the key as unknown.
//
// [Fold] and [Attempt] make the decisions and use no goroutines, clocks or
// sockets; [Ledger] performs the input and output.
//
// # Usage
//
//	l := &ledger.Ledger{Log: client, Owner: "kochi-a-1", Partitions: 1, Retention: 24 * time.Hour}
//	l.Start(ctx)
//	res := l.Do(ctx, ledger.Request{Account: "dispatch", Key: key, BodyHash: hash, Deadline: t}, send)
//
// # Memory
//
// A key takes one [keyState] in a map and one element of a queue until its
// retention ends. Response bodies stay on the log and are read only for a retry.
// BenchmarkLedgerMemory measures the bytes per key.
package ledger
