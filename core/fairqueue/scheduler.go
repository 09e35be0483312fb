package fairqueue

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Parameters of the scheduler.
const (
	// reverseInterval is the interval, in picks, at which the classes are served in reverse order, so that none starves.
	reverseInterval = 8
	// reserveDivisor reserves one in this many slots for teams below their fair share.
	reserveDivisor = 4
	// idleTeamLifetime is how long a team without requests counts as active.
	idleTeamLifetime = 30 * time.Second
	// serviceTimeWeight is the weight of the latest service time in the moving average.
	serviceTimeWeight = 0.05
)

// Item is a request that waits for a slot or occupies one.
type Item struct {
	Team settings.TeamID
	// Share is the team's weight in fair queueing; values below 1 count as 1.
	Share    int
	Priority settings.Priority
	// Work is the expected work of the request.
	Work settings.Tokens
	// Deadline is when the request must have ended.
	Deadline clock.Instant
	// Start is called by the caller of Pop when the item gets its slot.
	Start func()

	startedAt clock.Instant
	gotSlot   bool
	done      bool
}

// Started reports whether the item has got a slot, also after Done.
func (it *Item) Started() bool { return it.gotSlot }

// team holds the scheduler's state of one team.
type team struct {
	id    settings.TeamID
	share int
	// virtualTime is the started work divided by the share.
	virtualTime float64
	running     int
	lastActive  clock.Instant
	queues      [3][]*Item
}

// Scheduler assigns a limited number of slots to items; the zero value has no slots.
type Scheduler struct {
	Slots     int
	MaxQueued int

	teams   map[settings.TeamID]*team
	running int
	queued  int
	picks   int
	// virtualTime is that of the latest pick, at which a team that was idle continues.
	virtualTime     float64
	meanServiceTime time.Duration
}

// Running returns the number of slots in use.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting items.
func (s *Scheduler) Queued() int { return s.queued }

func classIndex(p settings.Priority) int {
	for i, priority := range settings.Priorities {
		if priority == p {
			return i
		}
	}
	return len(settings.Priorities) - 1
}

// Wait returns the expected time that a new item waits for a slot.
func (s *Scheduler) Wait() time.Duration {
	if s.running < s.Slots && s.queued == 0 {
		return 0
	}
	if s.Slots == 0 {
		return s.meanServiceTime
	}
	return s.meanServiceTime * time.Duration(s.queued+1) / time.Duration(s.Slots)
}

// Push adds an item to the queue. It reports false if the queue is full or the item's deadline would pass while it waits.
func (s *Scheduler) Push(now clock.Instant, it *Item) bool {
	if s.queued >= s.MaxQueued || it.Deadline.Before(now.Add(s.Wait())) {
		return false
	}
	t := s.teamOf(it)
	t.lastActive = now
	class := classIndex(it.Priority)
	if t.waiting() == 0 && t.virtualTime < s.virtualTime {
		// A team gets no credit for the time in which it was idle.
		t.virtualTime = s.virtualTime
	}
	t.queues[class] = append(t.queues[class], it)
	s.queued++
	return true
}

func (s *Scheduler) teamOf(it *Item) *team {
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

// Pop assigns a slot to the next item and returns it, or nil if none may start.
func (s *Scheduler) Pop(now clock.Instant) *Item {
	if s.running >= s.Slots || s.queued == 0 {
		return nil
	}
	s.dropIdleTeams(now)
	for _, class := range s.classOrder() {
		if t := s.nextTeam(class); t != nil {
			return s.start(now, t, class)
		}
	}
	return nil
}

// classOrder returns the indexes of the priority classes in the order in which this pick serves them.
func (s *Scheduler) classOrder() [3]int {
	if s.picks%reverseInterval == reverseInterval-1 {
		return [3]int{2, 1, 0}
	}
	return [3]int{0, 1, 2}
}

// nextTeam returns the team that may start an item of the class and has the lowest virtual time, or nil.
func (s *Scheduler) nextTeam(class int) *team {
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

// before orders teams by virtual time and then by name.
func (t *team) before(other *team) bool {
	return t.virtualTime < other.virtualTime || t.virtualTime == other.virtualTime && t.id < other.id
}

// mayStart reports whether the team may take a slot. The last free slots are reserved for teams below their fair share.
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

func (s *Scheduler) start(now clock.Instant, t *team, class int) *Item {
	it := t.queues[class][0]
	t.queues[class][0] = nil
	t.queues[class] = t.queues[class][1:]
	s.queued--
	s.picks++
	s.virtualTime = max(s.virtualTime, t.virtualTime)
	t.virtualTime += float64(it.Work) / float64(t.share)
	t.running++
	s.running++
	it.gotSlot = true
	it.startedAt = now
	return it
}

// Done releases the slot of an item, or removes the item from the queue; further calls do nothing.
func (s *Scheduler) Done(now clock.Instant, it *Item) {
	if it.done {
		return
	}
	it.done = true
	t := s.teams[it.Team]
	if !it.gotSlot {
		s.dequeue(t, it)
		return
	}
	t.running--
	t.lastActive = now
	s.running--
	serviceTime := now.Sub(it.startedAt)
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
	}
	s.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.meanServiceTime))
}

func (s *Scheduler) dequeue(t *team, it *Item) {
	if t == nil {
		return
	}
	class := classIndex(it.Priority)
	for i, queued := range t.queues[class] {
		if queued == it {
			t.queues[class] = append(t.queues[class][:i], t.queues[class][i+1:]...)
			s.queued--
			return
		}
	}
}

// dropIdleTeams drops teams without requests for longer than idleTeamLifetime.
func (s *Scheduler) dropIdleTeams(now clock.Instant) {
	for id, t := range s.teams {
		if t.running == 0 && t.waiting() == 0 && now.Sub(t.lastActive) > idleTeamLifetime {
			delete(s.teams, id)
		}
	}
}
