// Package asserter checks the system's invariants at run time.
//
// A violation is counted, logged and recorded as an event; in tests, which set
// PanicOnViolation, it also panics. The names of the invariants are fixed:
// docs/invariants.md maps each to its check, its test and the mutation that the
// test detects.
//
// # Usage
//
//	a := &asserter.Asserter{Log: log, Recorder: rec, OnViolation: metrics.RecordViolation}
//	a.Check(asserter.NoDispatchWhenLeaving, !t.Leaving, "dispatched to leaving target %s", t.ID)
package asserter

import (
	"fmt"
	"sync/atomic"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// Invariant is the name of an invariant, as used in logs and metrics.
type Invariant string

// The invariants of the system; docs/invariants.md states each of them.
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

// All lists the invariants in the order of docs/invariants.md.
var All = []Invariant{
	BlockComplete, AccountIsolation, VersionIsolation, CompleteResponse, NotRunAccurate,
	AtMostOnce, NoDispatchWhenLeaving, GracefulStop, MonotonicConfig,
}

// Asserter reports violated invariants. A nil Asserter reports nothing. It is safe for concurrent use.
type Asserter struct {
	// Log, Recorder and OnViolation may be nil.
	Log              logger.Logger
	Recorder         *recorder.Recorder
	OnViolation      func(Invariant)
	PanicOnViolation bool

	violations atomic.Int64
}

// Check reports a violation of inv if ok is false, and returns ok. The format and its arguments describe the violation.
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

// Violations returns the number of reported violations.
func (a *Asserter) Violations() int64 {
	if a == nil {
		return 0
	}
	return a.violations.Load()
}
