// Package clocker provides a monotonic clock that includes the time for which the machine was suspended.
//
// Lease terms and the age of API keys are measured on this clock. The monotonic
// clock of the Go runtime stops while a machine is suspended. On that clock, the
// holder of a lease would consider it valid after it has expired for the other
// instances.
//
// # Usage
//
//	start := clocker.SinceBoot()
//	age := clocker.SinceBoot() - start
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
