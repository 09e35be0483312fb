package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine's boot, including suspension.
type Instant time.Duration

// Boot reads the machine's CLOCK_BOOTTIME. Its zero value is ready to use.
type Boot struct{}

// Now returns the current instant. If CLOCK_BOOTTIME cannot be read, it falls back to the wall clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Duration(time.Now().UnixNano()))
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i comes before other.
func (i Instant) Before(other Instant) bool { return i < other }

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
