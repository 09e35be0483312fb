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

// TestColdLimitsOfAPlatformWithoutThem guards against settings that a platform which states no such bounds renders with empty values.
func TestColdLimitsOfAPlatformWithoutThem(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		text string
		want ColdLimits
	}{
		{"direct:\n  cold:\n    overage: \n    slack: \n", ColdLimits{Overage: DefaultColdOverage}},
		{"direct: {memory_mb: 5}\n", ColdLimits{Overage: DefaultColdOverage}},
		{"direct: {cold: {overage: 1.5, slack: 5}}\n", ColdLimits{Overage: 1.5, Slack: 5}},
	} {
		var r Router
		c.Assert(decodeStrict([]byte(tt.text), &r), qt.IsNil)
		r.SetDefaults()
		c.Assert(r.Direct.Cold, qt.Equals, tt.want, qt.Commentf("%q", tt.text))
	}
	r := Router{Direct: &Direct{Cold: ColdLimits{Overage: -1, Slack: -1}}}
	r.SetDefaults()
	var fields []string
	for _, p := range r.Validate("router.yaml") {
		fields = append(fields, p.Field)
	}
	c.Assert(fields, qt.Contains, "direct.cold.overage")
	c.Assert(fields, qt.Contains, "direct.cold.slack")
}
