package fairshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

func TestLevel(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name     string
		demands  []demand
		capacity float64
		want     float64
	}{
		{"enough for all", []demand{{3, 1}, {5, 1}}, 8, math.Inf(1)},
		{"equal parts", []demand{{10, 1}, {10, 1}}, 8, 4},
		{"what one leaves goes to the other", []demand{{10, 1}, {2, 1}}, 8, 6},
		{"by weight", []demand{{30, 3}, {10, 1}}, 8, 2},
		{"no teams", nil, 8, math.Inf(1)},
	}
	for _, tt := range tests {
		c.Run(tt.name, func(c *qt.C) { c.Assert(level(tt.demands, tt.capacity), qt.Equals, tt.want) })
	}
}

// surge replays a service with room for 100 requests a second, and for a quarter of a second of them beyond that, and teams of unlike
// size that send 80 together. From 10 to 18 s one team
// sends 8 times its usual and, with everyone set, all others twice theirs.
type surge struct {
	everyone bool
	loud     int
	wanted   [24]float64
	served   [24]float64
	after    int // requests refused by their share later than 1 s after the surge
}

func (s *surge) run(c *qt.C) {
	const capacity, usual, seconds = 100.0, 80.0, 30
	rng := rand.New(rand.NewPCG(1, 2))
	var weights [24]float64
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		sum += weights[i]
	}
	var tracker Tracker
	room := 0.0
	const step = 5 * time.Millisecond
	for now := clock.Instant(time.Hour); now < clock.Instant(time.Hour+seconds*time.Second); now = now.Add(step) {
		at := time.Duration(now) - time.Hour
		busy := at >= 10*time.Second && at < 18*time.Second
		// The first second is the time in which the surge is noticed.
		counted := busy && at >= 11*time.Second
		room = min(room+capacity*step.Seconds(), capacity/4)
		for _, i := range rng.Perm(len(weights)) {
			rate := usual * weights[i] / sum
			if busy && i == s.loud {
				rate *= 8
			} else if busy && s.everyone {
				rate *= 2
			}
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			id := settings.TeamID(rune('a' + i))
			if counted {
				s.wanted[i]++
			}
			if !tracker.Admit(now, "letters", 0, id, rng.Uint64(), 1) {
				if at > 19*time.Second {
					s.after++
				}
				continue
			}
			if room < 1 {
				tracker.NoRoom(now, "letters", 0, 1)
				continue
			}
			room--
			tracker.Served(now, "letters", 0, 1)
			if counted {
				s.served[i]++
			}
		}
	}
	c.Assert(tracker.Limited(clock.Instant(time.Hour+seconds*time.Second)), qt.HasLen, 0)
}

// others returns the share of the requests of all teams but the loud one that was served.
func (s *surge) others() float64 {
	wanted, served := 0.0, 0.0
	for i := range s.wanted {
		if i != s.loud {
			wanted, served = wanted+s.wanted[i], served+s.served[i]
		}
	}
	return served / wanted
}

// TestLoudTeamDoesNotPushOthersOut guards against a team that takes the room of all others by sending many times its usual.
func TestLoudTeamDoesNotPushOthersOut(t *testing.T) {
	c := qt.New(t)
	s := surge{loud: 0}
	s.run(c)
	loud := s.served[0] / s.wanted[0]
	c.Assert(s.others() >= 0.9, qt.IsTrue, qt.Commentf("others %.2f, loud team %.2f", s.others(), loud))
	// It still gets what it usually asks for, an eighth of this, and what the others leave.
	c.Assert(loud >= 1.0/8, qt.IsTrue, qt.Commentf("loud team %.2f", loud))
	c.Assert(s.after, qt.Equals, 0)
	sum := 0.0
	for _, n := range s.served {
		sum += n
	}
	c.Assert(sum >= 0.9*7*100, qt.IsTrue, qt.Commentf("%.0f requests served of 700", sum))
}

// TestNoTeamIsStarvedInASurgeOfAll guards against shares that take everything from one team: none is served less than a quarter as
// often as all.
func TestNoTeamIsStarvedInASurgeOfAll(t *testing.T) {
	c := qt.New(t)
	for _, loud := range []int{0, 5, 20} {
		s := surge{loud: loud, everyone: true}
		s.run(c)
		wanted, served := 0.0, 0.0
		for i := range s.wanted {
			wanted, served = wanted+s.wanted[i], served+s.served[i]
		}
		for i := range s.wanted {
			if s.wanted[i] < 20 {
				continue
			}
			share := s.served[i] / s.wanted[i]
			c.Check(share >= served/wanted/4, qt.IsTrue, qt.Commentf("team %d: %.2f of %.2f", i, share, served/wanted))
		}
		c.Check(s.after, qt.Equals, 0)
	}
}

// TestChatIsDecidedAlikeAtAllRouters guards against chats of which each turn has another fate.
func TestChatIsDecidedAlikeAtAllRouters(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	var a, b Tracker
	for _, tracker := range []*Tracker{&a, &b} {
		for i := range 1000 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			tracker.Admit(at, "letters", 0, "kano", uint64(i), 1)
			if i%3 == 0 {
				tracker.Served(at, "letters", 0, 1)
			} else {
				tracker.NoRoom(at, "letters", 0, 1)
			}
		}
	}
	at, admitted := now.Add(time.Second), 0
	c.Assert(a.Limited(at), qt.HasLen, 1)
	c.Assert(a.Limited(at)[0].Team, qt.Equals, settings.TeamID("kano"))
	for key := range uint64(100) {
		first := a.Admit(at, "letters", 0, "kano", key, 0)
		c.Assert(b.Admit(at, "letters", 0, "kano", key, 0), qt.Equals, first)
		if first {
			admitted++
		}
	}
	c.Assert(admitted > 20 && admitted < 60, qt.IsTrue, qt.Commentf("%d of 100", admitted))
}
