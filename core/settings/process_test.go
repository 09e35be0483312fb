package settings

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGraceTimeBoundsTheStop replays platforms that kill a process at different times after the signal to stop: open
// requests get all of that time but for what the balancer and the end of the process need.
func TestGraceTimeBoundsTheStop(t *testing.T) {
	tests := []struct {
		name                 string
		grace, notice, drain time.Duration
	}{
		{"no grace time", 0, DefaultNoticeTime, DefaultDrainTime},
		{"ample", 30 * time.Second, 2 * time.Second, 27700 * time.Millisecond},
		{"short", 3 * time.Second, time.Second, 1700 * time.Millisecond},
		{"hardly any", 300 * time.Millisecond, 100 * time.Millisecond, stopMargin},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := Router{GraceTime: tt.grace}
			r.Default()
			c.Assert(r.NoticeTime, qt.Equals, tt.notice)
			c.Assert(r.DrainTime, qt.Equals, tt.drain)
		})
	}
}
