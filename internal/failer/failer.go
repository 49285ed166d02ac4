// Package failer builds errors that carry the failed action, the step and the peer.
//
// An error that leaves a package of this repository is wrapped once, by the
// function that knows which step failed and which peer (a target, an instance,
// the platform's log) the step communicated with. The message has the form
//
//	could not dispatch to target 127.0.0.1:8001 at step import: checksum mismatch in block 3
//
// # Usage
//
//	if err := importBlocks(ctx, t); err != nil {
//		return failer.Wrap(err, "dispatch to target", t.Address, "import")
//	}
//
// [StepOf] and [PeerOf] return the step and the peer for logs and events.
package failer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// class groups all errors of this module.
var class = errs.Class("papayaworks")

// Error is an error with the action that failed, the peer and the step. Peer and Step may be empty.
type Error struct {
	Action string
	Peer   string
	Step   string
	Err    error
}

// Wrap returns an [Error] that wraps err, or nil if err is nil.
func Wrap(err error, action, peer, step string) error {
	if err == nil {
		return nil
	}
	return &Error{Action: action, Peer: peer, Step: step, Err: err}
}

// New returns a formatted error of this module's error class, with a stack trace.
func New(format string, args ...any) error {
	return class.New(format, args...)
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Peer == "" && e.Step == "":
		return fmt.Sprintf("could not %s: %v", e.Action, e.Err)
	case e.Peer == "":
		return fmt.Sprintf("could not %s at step %s: %v", e.Action, e.Step, e.Err)
	case e.Step == "":
		return fmt.Sprintf("could not %s %s: %v", e.Action, e.Peer, e.Err)
	}
	return fmt.Sprintf("could not %s %s at step %s: %v", e.Action, e.Peer, e.Step, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// StepOf returns the step of the outermost [Error] in err's chain, or "".
func StepOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Step
	}
	return ""
}

// PeerOf returns the peer of the outermost [Error] in err's chain, or "".
func PeerOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Peer
	}
	return ""
}
