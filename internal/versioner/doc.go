// Package versioner determines the current configuration version by replaying a stream of the platform's log.
//
// Publication uses optimistic concurrency control: each record carries its base
// version. A record is accepted if its base is the current version, its hash
// matches its text, the text is a valid configuration and the number of ledger
// partitions is unchanged. Every reader applies the same records in the same
// order, so if two operators publish against the same base, exactly one of them
// wins, and it is the same one at every reader.
//
// The log retains records for a limited time. Instances therefore append the
// current version again as a snapshot, together with the offset up to which it is
// the newest version. The state of a reader is always such a pair of version and
// offset. A reader whose next records have expired accepts none until it receives
// a snapshot, from the log or a peer, whose offset the log still retains, and
// resumes there. Without the offset a late reader could accept a record that had
// lost a race.
//
// [State] is the state machine. [Versioner] follows the stream, appends snapshots
// and exchanges them with peers. [Publish] publishes a configuration.
//
// # Usage
//
//	v := versioner.New(log, retention)
//	v.OnAdopt = func(a versioner.AcceptedVersion) { ... }
//	go v.Run(ctx)
//
//	version, err := versioner.Publish(ctx, log, base, "asha", text)
//	var conflict *versioner.BaseConflictError
//	if errors.As(err, &conflict) { ... }
package versioner
