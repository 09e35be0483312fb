package fairqueue

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

func item(team settings.TeamID, p settings.Priority) *Item {
	return &Item{Team: team, Share: 1, Priority: p, Work: 100, Deadline: clock.Instant(time.Hour)}
}

// serve runs up to n items one after the other and counts them by team and by class.
func serve(s *Scheduler, n int) (byTeam map[settings.TeamID]int, byClass map[settings.Priority]int) {
	byTeam = make(map[settings.TeamID]int)
	byClass = make(map[settings.Priority]int)
	now := clock.Instant(0)
	for range n {
		it := s.Pop(now)
		if it == nil {
			return byTeam, byClass
		}
		byTeam[it.Team]++
		byClass[it.Priority]++
		now = now.Add(time.Second)
		s.Done(now, it)
	}
	return byTeam, byClass
}

func TestSurgingTeamGetsNoMoreThanItsShare(t *testing.T) {
	c := qt.New(t)
	s := &Scheduler{Slots: 1, MaxQueued: 1000}
	for range 500 {
		c.Assert(s.Push(0, item("surge", settings.PriorityNormal)), qt.IsTrue)
	}
	for range 50 {
		c.Assert(s.Push(0, item("calm", settings.PriorityNormal)), qt.IsTrue)
	}
	teams, _ := serve(s, 100)
	c.Assert(teams["calm"] >= 49, qt.IsTrue, qt.Commentf("%v", teams))
}

func TestUrgentGoesFirstAndNoClassStarves(t *testing.T) {
	c := qt.New(t)
	s := &Scheduler{Slots: 1, MaxQueued: 1000}
	for range 200 {
		s.Push(0, item("a", settings.PriorityUrgent))
		s.Push(0, item("b", settings.PriorityPatient))
	}
	_, classes := serve(s, 80)
	c.Assert(classes[settings.PriorityUrgent], qt.Equals, 70)
	c.Assert(classes[settings.PriorityPatient], qt.Equals, 10)
}

func TestSlotsAreReservedForTeamsBelowTheirShare(t *testing.T) {
	c := qt.New(t)
	s := &Scheduler{Slots: 8, MaxQueued: 100}
	s.Push(0, item("calm", settings.PriorityNormal))
	first := s.Pop(0)
	s.Done(0, first)
	for range 20 {
		s.Push(0, item("surge", settings.PriorityNormal))
	}
	for s.Pop(0) != nil {
	}
	c.Assert(s.Running(), qt.Equals, 6)
	s.Push(0, item("calm", settings.PriorityNormal))
	c.Assert(s.Pop(0).Team, qt.Equals, settings.TeamID("calm"))
}

func TestItemThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	s := &Scheduler{Slots: 1, MaxQueued: 100, meanServiceTime: time.Minute}
	running := item("a", settings.PriorityNormal)
	s.Push(0, running)
	s.Pop(0)
	late := item("a", settings.PriorityNormal)
	late.Deadline = clock.Instant(30 * time.Second)
	c.Assert(s.Push(0, late), qt.IsFalse)
}

func TestRunningAndQueuedStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), MaxQueued: 20}
		var waiting, running []*Item
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := clock.Instant(i) * clock.Instant(time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				team := rapid.SampledFrom([]settings.TeamID{"a", "b", "c"}).Draw(t, "team")
				it := item(team, rapid.SampledFrom(settings.Priorities).Draw(t, "class"))
				if s.Push(now, it) {
					waiting = append(waiting, it)
				}
			case 1:
				if it := s.Pop(now); it != nil {
					running = append(running, it)
				}
			case 2:
				if len(waiting) > 0 {
					s.Done(now, waiting[0])
					waiting = waiting[1:]
				}
			}
			if s.Running() > s.Slots || s.Queued() > s.MaxQueued {
				t.Fatalf("%d running, %d queued", s.Running(), s.Queued())
			}
		}
		for _, it := range append(waiting, running...) {
			s.Done(clock.Instant(time.Hour), it)
		}
		if s.Running() != 0 || s.Queued() != 0 {
			t.Fatalf("%d running, %d queued at the end", s.Running(), s.Queued())
		}
	})
}
