// Package clocker provides a monotonic clock that includes the time for which the machine was suspended.
//
// Lease terms and the age of API keys are measured on this clock. The monotonic
// clock of the Go runtime stops while a machine is suspended, so on it the holder
// of a lease would consider the lease valid after other instances see it expired.
//
// # Usage
//
//	start := clocker.Elapsed()
//	age := clocker.Elapsed() - start
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including suspended time. It is safe for concurrent use.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
