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
		now, deadline time.Duration
		runTime       time.Duration
		want          bool
	}{
		{"time left", 5 * time.Second, 0, 10 * time.Second, time.Second, true},
		{"no time left", 5 * time.Second, 4 * time.Second, 10 * time.Second, time.Second, false},
		{"deadline before the end", 5 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute, true},
		{"after the end", 5 * time.Second, 6 * time.Second, 10 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stopping Tracker
			qt.Assert(t, stopping.Fits(at(tt.now), at(tt.deadline), tt.runTime), qt.IsTrue)
			stopping.Begin(at(tt.end))
			qt.Assert(t, stopping.Fits(at(tt.now), at(tt.deadline), tt.runTime), qt.Equals, tt.want)
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
		stopping.Begin(at(grace))
		var begun, ended, refused, refusedInTime int
		for range requests {
			now := time.Duration(r.Float64() * float64(grace))
			// Run times are uniform around their mean.
			runTime := time.Duration(r.Float64() * 2 * float64(mean))
			inTime := now+runTime <= grace
			switch fits := stopping.Fits(at(now), at(now+time.Minute), mean); {
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
