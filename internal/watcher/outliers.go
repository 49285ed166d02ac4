package watcher

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// maxClockError is how far in the future the start of a target may lie. Clocks differ by seconds; later starts are odd.
	maxClockError = 24 * time.Hour
	// outlierRecords is how many records in sequence show that the higher sequence before them was odd. Records that the metadata
	// store applies late come one at a time, between newer ones.
	outlierRecords = 3
)

// outliers counts the records of targets that are older than the one in force, since the last newer one.
type outliers map[string]struct {
	sequence int64
	count    int
}

// overrules reports whether a record that is older than the one in force, together with those before it, shows that the sequence of the
// latter is odd. A target that is leaving does not take that back.
func (o outliers) overrules(t, inForce *cataloger.Target) bool {
	c := o[t.ID]
	if t.StartedUnixMs != inForce.StartedUnixMs || inForce.Leaving && !t.Leaving || c.count > 0 && t.Sequence <= c.sequence {
		delete(o, t.ID)
		return false
	}
	c.sequence, c.count = t.Sequence, c.count+1
	o[t.ID] = c
	if c.count < outlierRecords {
		return false
	}
	delete(o, t.ID)
	return true
}
