package settings

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGraceTimeLimitsNoticeAndDrainTime covers platforms that kill a process at different times after the stop signal. Open
// requests get all of that time except the notice time and the margin for the end of the process.
func TestGraceTimeLimitsNoticeAndDrainTime(t *testing.T) {
	tests := []struct {
		name                 string
		grace, notice, drain time.Duration
	}{
		{"no grace time", 0, DefaultNoticeTime, DefaultDrainTime},
		{"long grace time", 30 * time.Second, 2 * time.Second, 27700 * time.Millisecond},
		{"short grace time", 3 * time.Second, time.Second, 1700 * time.Millisecond},
		{"grace time as short as the margin", 300 * time.Millisecond, 100 * time.Millisecond, stopMargin},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := Router{GraceTime: tt.grace}
			r.SetDefaults()
			c.Assert(r.NoticeTime, qt.Equals, tt.notice)
			c.Assert(r.DrainTime, qt.Equals, tt.drain)
		})
	}
}
