package quarantiner

import (
	"cmp"
	"time"
)

// Process identifies one process of a target.
type Process struct {
	Target        string `msgpack:"t"`
	StartedUnixMs int64  `msgpack:"b"`
}

// Crash is a crashed process with the suspect blocks of each of the sender's unanswered calls, in prompt order and without
// those that have succeeded since.
type Crash struct {
	Process Process    `msgpack:"p"`
	Calls   [][]uint64 `msgpack:"k"`
}

// Entry is the state of a block at the sender. If Remaining is positive, the block is quarantined for that time. Otherwise a
// call with the block succeeded at the sender -Remaining ago.
type Entry struct {
	Block     uint64        `msgpack:"k"`
	Remaining time.Duration `msgpack:"r"`
}

// compareProcesses orders processes for results that do not depend on the order of a map.
func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs))
}
