// Package versioner folds the configuration records of the platform's log into the version in force.
//
// A record is accepted if its base is the version in force, its hash fits its
// text, the text is a valid configuration and the number of ledger partitions
// stays the same. Every reader folds the same records in the same order, so of
// two operators who publish against the same base exactly one wins everywhere.
//
// The log keeps records for a limited time. Instances therefore append the
// version in force again as a snapshot, which also says up to which offset it is
// the newest version. What a reader knows is always a pair: a version, and the
// offset up to which it is in force. A reader whose offset the log has dropped
// accepts no further records until it has a snapshot, or a peer's record, with an
// offset that the log still has; it then reads on from there. Without the offset
// a late reader could accept a record that had lost a race.
//
// [State] is the fold. [Versioner] follows the stream, appends snapshots and
// exchanges records with peers. [Publish] publishes a configuration.
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
