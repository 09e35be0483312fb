package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

func TestFits(t *testing.T) {
	tests := []struct {
		name          string
		end           time.Duration
		now, received time.Duration
		deadline      time.Duration
		runTime       time.Duration
		want          bool
	}{
		{"time left", 5 * time.Second, 0, 0, 10 * time.Second, time.Second, true},
		{"no time left", 5 * time.Second, 4 * time.Second, 0, 10 * time.Second, time.Second, false},
		{"deadline before the end", 5 * time.Second, 4 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute, true},
		{"waited", 5 * time.Second, 3 * time.Second, time.Second, 10 * time.Second, time.Second, true},
		{"at the end of the notice", 5 * time.Second, 2 * time.Second, 2 * time.Second, 10 * time.Second, time.Second, true},
		{"after the notice", 5 * time.Second, 2100 * time.Millisecond, 2100 * time.Millisecond, 10 * time.Second, time.Millisecond, false},
		{"after the end", 5 * time.Second, 6 * time.Second, 6 * time.Second, 10 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stopping Tracker
			qt.Assert(t, stopping.Fits(at(tt.now), at(tt.received), at(tt.deadline), tt.runTime), qt.IsTrue)
			stopping.Begin(at(2*time.Second), at(tt.end))
			qt.Assert(t, stopping.Fits(at(tt.now), at(tt.received), at(tt.deadline), tt.runTime), qt.Equals, tt.want)
		})
	}
}

// TestStoppingProcessEndsWhatItBegins replays requests that come throughout the time in which a process stops. Few of those that it
// begins may be ended with it, and few of those that it refuses would have had the time.
func TestStoppingProcessEndsWhatItBegins(t *testing.T) {
	const grace, requests = 7500 * time.Millisecond, 20000
	r := rand.New(rand.NewPCG(43, 1))
	for _, mean := range []time.Duration{50 * time.Millisecond, time.Second, 2 * time.Second} {
		var stopping Tracker
		stopping.Begin(at(grace), at(grace))
		var begun, ended, refused, refusedInTime int
		for range requests {
			now := time.Duration(r.Float64() * float64(grace))
			// Run times are uniform around their mean.
			runTime := time.Duration(r.Float64() * 2 * float64(mean))
			inTime := now+runTime <= grace
			switch fits := stopping.Fits(at(now), at(now), at(now+time.Minute), mean); {
			case fits && inTime:
				begun++
			case fits:
				begun, ended = begun+1, ended+1
			case inTime:
				refused, refusedInTime = refused+1, refusedInTime+1
			default:
				refused++
			}
		}
		qt.Check(t, ended, qt.Equals, 0, qt.Commentf("%s: of %d begun", mean, begun))
		// Refusals are limited to the last time in which a run may be too long.
		qt.Check(t, refused <= int(1.1*requests*2*mean.Seconds()/grace.Seconds()), qt.IsTrue, qt.Commentf("%s: %d refused, %d in time", mean, refused, refusedInTime))
	}
}

// TestLongRequestIsBegunAfterTheNotice replays streams that come throughout the time in which a process stops, a few of which run for many
// times the mean of their service. None that comes after the notice may be begun and ended, whatever is expected of it, and all
// short calls are begun.
func TestLongRequestIsBegunAfterTheNotice(t *testing.T) {
	const notice, grace, requests = 2500 * time.Millisecond, 7500 * time.Millisecond, 20000
	const mean, long, deadline = 900 * time.Millisecond, 6 * time.Second, 15 * time.Second
	r := rand.New(rand.NewPCG(61, 1))
	var stopping Tracker
	stopping.Begin(at(notice), at(grace))
	var early, refused int
	for range requests {
		now := time.Duration(r.Float64() * float64(grace))
		runTime := mean
		if r.IntN(20) == 0 {
			runTime = long
		}
		fits := stopping.Fits(at(now), at(now), at(now+deadline), mean)
		switch {
		case now > notice:
			qt.Assert(t, fits && now+runTime > grace, qt.IsFalse, qt.Commentf("begun at %s, runs for %s", now, runTime))
		case !fits:
			refused++
		default:
			early++
		}
		call := min(now, grace-time.Second)
		qt.Assert(t, stopping.Fits(at(call), at(call), at(call+time.Second), mean), qt.IsTrue)
	}
	qt.Check(t, refused, qt.Equals, 0, qt.Commentf("%d begun within the notice", early))
}
