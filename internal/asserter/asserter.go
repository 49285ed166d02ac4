// Package asserter checks the system's invariants while it runs.
//
// In production a violated invariant is counted, logged and recorded on the
// time line; in tests it is fatal. The names of the invariants are fixed; the
// page docs/invariants.md maps each to its check, its test and its mutation.
//
// # Usage
//
//	a := &asserter.Asserter{Log: log, Recorder: rec, OnViolation: metrics.Violation}
//	a.Check(asserter.NoDispatchWhenLeaving, !t.Leaving, "dispatched to leaving target "+t.ID)
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
	BlockComplete         Invariant = "blockComplete"
	AccountIsolation      Invariant = "accountIsolation"
	VersionIsolation      Invariant = "versionIsolation"
	CompleteResponse      Invariant = "wholeAnswer"
	NotRunAccurate        Invariant = "notRunTrue"
	AtMostOnce            Invariant = "atMostOnce"
	NoDispatchWhenLeaving Invariant = "noWorkWhenLeaving"
	GracefulStop          Invariant = "gracefulStop"
	MonotonicConfig       Invariant = "configForward"
)

// All lists every invariant in the order of docs/invariants.md.
var All = []Invariant{
	BlockComplete, AccountIsolation, VersionIsolation, CompleteResponse, NotRunAccurate,
	AtMostOnce, NoDispatchWhenLeaving, GracefulStop, MonotonicConfig,
}

// Asserter reports violated invariants. A nil Asserter checks nothing.
type Asserter struct {
	Log              logger.Logger
	Recorder         *recorder.Recorder
	OnViolation      func(Invariant)
	PanicOnViolation bool

	violations atomic.Int64
}

// Check reports a violation of inv unless ok is true, and returns ok.
func (a *Asserter) Check(inv Invariant, ok bool, format string, args ...any) bool {
	if ok || a == nil {
		return ok
	}
	a.violations.Add(1)
	detail := fmt.Sprintf(format, args...)
	if a.OnViolation != nil {
		a.OnViolation(inv)
	}
	if a.Log != nil {
		a.Log.WithField("invariant", string(inv)).Error("invariant violated: " + detail)
	}
	a.Recorder.Record(recorder.Event{Kind: "invariantViolated", Step: string(inv), Reason: detail})
	if a.PanicOnViolation {
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
