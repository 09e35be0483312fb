package fairqueue

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Rules of the scheduler.
const (
	// patience is the number of picks after which the lowest waiting class gets one.
	patience = 8
	// reserveDivisor keeps one slot in this many for teams below their fair share.
	reserveDivisor = 4
	// teamMemory is how long a team counts as active after its last request.
	teamMemory = 30 * time.Second
	// serviceMemory is the weight of the latest service time in the running mean.
	serviceMemory = 0.05
)

// Item is one request that waits for a slot or holds one.
type Item struct {
	Team     settings.TeamID
	Share    int
	Priority settings.Priority
	Work     settings.Tokens
	// Deadline is when the request must have ended.
	Deadline clock.Instant
	// Start is called without locks held when the item gets its slot.
	Start func()

	started clock.Instant
	running bool
	gone    bool
}

// Started reports whether the item has had its slot.
func (it *Item) Started() bool { return it.running }

// team is what the scheduler knows of one team.
type team struct {
	id      settings.TeamID
	share   int
	virtual float64
	running int
	last    clock.Instant
	queues  [3][]*Item
}

// Scheduler hands out a bounded number of slots; its zero value has none.
type Scheduler struct {
	Slots     int
	MaxQueued int

	teams   map[settings.TeamID]*team
	running int
	queued  int
	picks   int
	// virtual is the virtual time of the latest pick, where teams that come back begin.
	virtual float64
	service time.Duration
}

// Running returns the number of slots in use.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of items waiting.
func (s *Scheduler) Queued() int { return s.queued }

func classOf(p settings.Priority) int {
	for i, have := range settings.Priorities {
		if have == p {
			return i
		}
	}
	return len(settings.Priorities) - 1
}

// Wait estimates how long a new item would wait for a slot.
func (s *Scheduler) Wait() time.Duration {
	if s.running < s.Slots && s.queued == 0 {
		return 0
	}
	if s.Slots == 0 {
		return s.service
	}
	return s.service * time.Duration(s.queued+1) / time.Duration(s.Slots)
}

// Push takes an item in; it reports false when the queue is full or the item would miss its deadline.
func (s *Scheduler) Push(now clock.Instant, it *Item) bool {
	if s.queued >= s.MaxQueued || it.Deadline.Before(now.Add(s.Wait())) {
		return false
	}
	t := s.team(it)
	t.last = now
	class := classOf(it.Priority)
	if t.waiting() == 0 && t.virtual < s.virtual {
		// A team that was idle has saved up nothing.
		t.virtual = s.virtual
	}
	t.queues[class] = append(t.queues[class], it)
	s.queued++
	return true
}

func (s *Scheduler) team(it *Item) *team {
	if s.teams == nil {
		s.teams = make(map[settings.TeamID]*team)
	}
	t := s.teams[it.Team]
	if t == nil {
		t = &team{id: it.Team}
		s.teams[it.Team] = t
	}
	t.share = max(1, it.Share)
	return t
}

func (t *team) waiting() int {
	return len(t.queues[0]) + len(t.queues[1]) + len(t.queues[2])
}

// Pop gives a slot to the next item, or returns nil when none may start.
func (s *Scheduler) Pop(now clock.Instant) *Item {
	if s.running >= s.Slots || s.queued == 0 {
		return nil
	}
	s.forget(now)
	for _, class := range s.classes() {
		if t := s.next(class); t != nil {
			return s.take(now, t, class)
		}
	}
	return nil
}

// classes returns the order in which the classes are looked at.
func (s *Scheduler) classes() [3]int {
	if s.picks%patience == patience-1 {
		return [3]int{2, 1, 0}
	}
	return [3]int{0, 1, 2}
}

// next returns the team with the least work served for its share that may start an item of the class.
func (s *Scheduler) next(class int) *team {
	var best *team
	for _, t := range s.teams {
		if len(t.queues[class]) == 0 || !s.mayStart(t) {
			continue
		}
		if best == nil || t.before(best) {
			best = t
		}
	}
	return best
}

// before orders teams by the work they were served for their share, and by name where that is equal.
func (t *team) before(other *team) bool {
	return t.virtual < other.virtual || t.virtual == other.virtual && t.id < other.id
}

// mayStart keeps the last free slots for teams that use less than their fair share.
func (s *Scheduler) mayStart(t *team) bool {
	reserve := s.Slots / reserveDivisor
	if len(s.teams) < 2 || s.running < s.Slots-reserve {
		return true
	}
	total := 0
	for _, other := range s.teams {
		total += other.share
	}
	return t.running*total < s.Slots*t.share
}

func (s *Scheduler) take(now clock.Instant, t *team, class int) *Item {
	it := t.queues[class][0]
	t.queues[class][0] = nil
	t.queues[class] = t.queues[class][1:]
	s.queued--
	s.picks++
	s.virtual = max(s.virtual, t.virtual)
	t.virtual += float64(it.Work) / float64(t.share)
	t.running++
	s.running++
	it.running = true
	it.started = now
	return it
}

// Done gives back the slot of an item, or takes it out of the queue.
func (s *Scheduler) Done(now clock.Instant, it *Item) {
	if it.gone {
		return
	}
	it.gone = true
	t := s.teams[it.Team]
	if !it.running {
		s.remove(t, it)
		return
	}
	t.running--
	t.last = now
	s.running--
	took := now.Sub(it.started)
	if s.service == 0 {
		s.service = took
	}
	s.service += time.Duration(serviceMemory * float64(took-s.service))
}

func (s *Scheduler) remove(t *team, it *Item) {
	if t == nil {
		return
	}
	class := classOf(it.Priority)
	for i, have := range t.queues[class] {
		if have == it {
			t.queues[class] = append(t.queues[class][:i], t.queues[class][i+1:]...)
			s.queued--
			return
		}
	}
}

// forget drops teams that have been quiet for a while.
func (s *Scheduler) forget(now clock.Instant) {
	for id, t := range s.teams {
		if t.running == 0 && t.waiting() == 0 && now.Sub(t.last) > teamMemory {
			delete(s.teams, id)
		}
	}
}
