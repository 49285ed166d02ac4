// Package clocker tells the time since the machine's start, the time for which it was suspended included.
//
// Leases and the age of API keys are counted on this clock: the monotonic clock
// of the runtime stands still while a machine is suspended, so a lease would seem
// to last longer than others believe.
//
// # Usage
//
//	begun := clocker.Elapsed()
//	age := clocker.Elapsed() - begun
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine's start.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has this clock since version 2.6.39
	}
	return time.Duration(ts.Nano())
}
