// Package asserter checks the system's invariants while it runs.
//
// In production a violated invariant is counted, logged and recorded on the
// time line; in tests it is fatal. The names of the invariants are fixed; the
// page docs/invariants.md maps each to its check, its test and its mutation.
//
// # Usage
//
//	a := &asserter.Asserter{Log: log, Recorder: rec, Count: metrics.Violation}
//	a.Check(asserter.NoWorkWhenLeaving, !t.Leaving, "dispatched to leaving target "+t.ID)
package asserter

import (
	"fmt"
	"sync/atomic"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// Invariant names one promise of the system.
type Invariant string

// The invariants of the system.
const (
	BlockComplete     Invariant = "blockComplete"
	AccountIsolation  Invariant = "accountIsolation"
	VersionIsolation  Invariant = "versionIsolation"
	WholeAnswer       Invariant = "wholeAnswer"
	NotRunTrue        Invariant = "notRunTrue"
	AtMostOnce        Invariant = "atMostOnce"
	NoWorkWhenLeaving Invariant = "noWorkWhenLeaving"
	GracefulStop      Invariant = "gracefulStop"
	ConfigForward     Invariant = "configForward"
)

// All lists every invariant in the order of docs/invariants.md.
var All = []Invariant{
	BlockComplete, AccountIsolation, VersionIsolation, WholeAnswer, NotRunTrue,
	AtMostOnce, NoWorkWhenLeaving, GracefulStop, ConfigForward,
}

// Asserter reports violated invariants. A nil Asserter checks nothing.
type Asserter struct {
	Log      logger.Logger
	Recorder *recorder.Recorder
	Count    func(Invariant)
	Fatal    bool

	violations atomic.Int64
}

// Check reports a violation of inv unless ok is true, and returns ok.
func (a *Asserter) Check(inv Invariant, ok bool, format string, args ...any) bool {
	if ok || a == nil {
		return ok
	}
	a.violations.Add(1)
	detail := fmt.Sprintf(format, args...)
	if a.Count != nil {
		a.Count(inv)
	}
	if a.Log != nil {
		a.Log.WithField("invariant", string(inv)).Error("invariant violated: " + detail)
	}
	a.Recorder.Record(recorder.Event{Kind: "invariantViolated", Step: string(inv), Reason: detail})
	if a.Fatal {
		panic("invariant " + string(inv) + " violated: " + detail)
	}
	return false
}

// Violations returns how many violations were reported.
func (a *Asserter) Violations() int64 {
	if a == nil {
		return 0
	}
	return a.violations.Load()
}
