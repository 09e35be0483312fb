package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Shape of the runs; times in seconds of the virtual clock.
const (
	arrivalRate   = 2.0 // requests an engine a second
	chatsPer      = 100 // chats an engine
	routers       = 4
	duration      = 300.0
	longDuration  = 90.0 // with many engines
	warmUp        = 40.0
	sampleEvery   = 0.25
	churnEvery    = 60.0
	churnLength   = 30.0
	noticeMax     = 5.0
	silenceLimit  = 2.0
	prefillRate   = 4000.0
	decodeRate    = 30.0
	maxRunning    = 32
	fullSpeed     = 16 // streams that run at full speed
	cacheTokens   = 600_000
	kvBytes       = 128 << 10 // bytes of KV cache a token
	transferRate  = 10e9      // bytes a second between engines
	surgeFactor   = 10
	hotChats      = 60
	manyEngines   = 200
	minInFlight   = 8
	surgingTeam   = settings.TeamID("team-0")
	teamCount     = 10
	maxContext    = 12_000
	newChatChance = 0.08
)

var scenarioNames = []string{"calm", "surge", "churn", "churn_surge", "view_disagreement", "silent_engine", "stale_mean"}

// config is one row of the table.
type config struct {
	engines  int
	multiple float64
	scenario string
	policy   string
}

// stats is what one run has measured.
type stats struct {
	requests, refused, asks, samples int
	reused, returned, held, moved    float64
	control, inFlight                float64
	skews, others, surging           []float64
}

// event is something that happens at an instant.
type event struct {
	at  float64
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// chat is one chat that may return.
type chat struct {
	id      uint64
	team    settings.TeamID
	context float64
	known   bool
}

// sim is one run.
type sim struct {
	config
	rng     *rand.Rand
	now     float64
	queue   events
	engines []*engine
	index   map[settings.UpstreamID]int
	chats   []*chat
	hot     []*chat
	policy  policy
	stats   stats
	end     float64
}

func newSim(c config, seed uint64) *sim {
	s := &sim{config: c, rng: rand.New(rand.NewPCG(seed, 7)), index: make(map[settings.UpstreamID]int), end: duration}
	if c.engines >= manyEngines {
		s.end = longDuration
	}
	for i := range c.engines {
		e := newEngine(i)
		s.engines = append(s.engines, e)
		s.index[e.id] = i
	}
	for range c.engines * chatsPer {
		s.chats = append(s.chats, s.newChat(s.team()))
	}
	for range hotChats * max(1, c.engines/20) {
		s.hot = append(s.hot, s.newChat(surgingTeam))
	}
	s.policy = newPolicy(s)
	s.warm()
	return s
}

// warm begins with every chat cached at the engine that ranks first for it.
func (s *sim) warm() {
	var ids []settings.UpstreamID
	for _, e := range s.engines {
		ids = append(ids, e.id)
	}
	set := rendezvous.New(ids)
	for _, c := range slices.Concat(s.chats, s.hot) {
		home, _ := set.Home(c.id)
		s.engines[s.index[home]].store(c.id, c.context)
		s.policy.warm(c, s.engines[s.index[home]])
		c.known = true
		c.context += 200
	}
}

// team draws a team; a few are large.
func (s *sim) team() settings.TeamID {
	i := min(s.rng.IntN(teamCount), s.rng.IntN(teamCount))
	return settings.TeamID("team-" + string(rune('0'+(i+1)%teamCount)))
}

func (s *sim) newChat(team settings.TeamID) *chat {
	c := &chat{id: s.rng.Uint64(), team: team, context: 300 + 1200*s.rng.Float64()}
	if s.rng.Float64() < 0.4 {
		c.context = 2000 + 6000*s.rng.Float64()
	}
	return c
}

func (s *sim) at(t float64, run func()) { heap.Push(&s.queue, event{at: t, run: run}) }

func (s *sim) instant() clock.Instant {
	return clock.Instant(time.Hour) + clock.Instant(s.now*float64(time.Second))
}

func (s *sim) is(names ...string) bool {
	for _, name := range names {
		if s.scenario == name {
			return true
		}
	}
	return false
}

func (s *sim) run() stats {
	s.at(0, s.arrive)
	s.every(sampleEvery, s.sample)
	s.every(meanload.ExchangeInterval.Seconds(), s.policy.round)
	if s.is("churn", "churn_surge") {
		s.every(churnEvery, func() { s.lose(noticeMax) })
	}
	if s.is("silent_engine") {
		s.every(churnEvery, func() { s.lose(-1) })
	}
	for len(s.queue) > 0 && s.now < s.end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.stats.control = s.policy.control()
	return s.stats
}

func (s *sim) every(interval float64, run func()) {
	var again func()
	again = func() {
		run()
		s.at(s.now+interval, again)
	}
	s.at(interval, again)
}

func (s *sim) surge() bool {
	return s.is("surge", "churn_surge") && s.now > s.end*0.4 && s.now < s.end*0.8
}

// arrive makes one request and plans the next.
func (s *sim) arrive() {
	rate := arrivalRate * float64(s.config.engines)
	teamRate := rate * 0.02
	extra := 0.0
	if s.surge() {
		extra = teamRate * (surgeFactor - 1)
	}
	s.at(s.now+s.rng.ExpFloat64()/(rate+extra), s.arrive)
	c := s.draw(s.rng.Float64()*(rate+extra) < extra+teamRate)
	s.submit(newRequest(s, c))
}

// draw picks the chat of the next request: mostly one that returns.
func (s *sim) draw(hot bool) *chat {
	if hot {
		return s.hot[s.rng.IntN(len(s.hot))]
	}
	i := s.rng.IntN(len(s.chats))
	if s.rng.Float64() < newChatChance {
		s.chats[i] = s.newChat(s.team())
	}
	return s.chats[i]
}

// sample notes the skew of the load carried.
func (s *sim) sample() {
	if s.now < warmUp {
		return
	}
	var sum, largest, flight, live float64
	for _, e := range s.engines {
		if e.down || e.silent {
			continue
		}
		live++
		sum += float64(e.load)
		largest = max(largest, float64(e.load))
		flight += float64(len(e.running) + e.scheduler.Queued())
	}
	s.stats.samples++
	s.stats.inFlight += flight / live
	if flight/live <= minInFlight {
		return
	}
	skew := largest * live / sum
	s.stats.skews = append(s.stats.skews, skew)
	if skew <= s.multiple {
		s.stats.held++
	}
}

// lose takes one engine away for a while; with notice below zero it falls silent instead of refusing connections.
func (s *sim) lose(notice float64) {
	e := s.engines[s.rng.IntN(len(s.engines))]
	if e.down || e.silent {
		return
	}
	lost := e.fail(notice < 0)
	if notice >= 0 {
		s.policy.left(e, s.rng.Float64()*notice)
	}
	delay := 0.0
	if notice < 0 {
		delay = silenceLimit
	}
	for _, r := range lost {
		s.at(s.now+delay, func() { s.submit(r.resumed()) })
	}
	s.at(s.now+churnLength, func() {
		e.recover()
		s.policy.back(e)
	})
}

// submit places a request, now or after the time that asking a silent engine costs.
func (s *sim) submit(r *request) {
	p := s.policy.place(r)
	if r.counted {
		s.stats.asks += p.asks
	} else if s.now >= warmUp {
		r.counted = true
		s.stats.requests++
		s.stats.asks += p.asks
	}
	if !p.ok {
		if r.counted {
			s.stats.refused++
		}
		return
	}
	s.at(s.now+p.delay, func() { s.begin(r, p) })
}

// begin gives a request to its engine, or places it again if that has gone.
func (s *sim) begin(r *request, p placement) {
	e := s.engines[p.engine]
	if e.down || e.silent {
		s.policy.gaveUp(r, e)
		s.submit(r)
		return
	}
	e.take(s, r, p)
}

// teamItem returns the scheduler's view of a request.
func (s *sim) teamItem(r *request, start func()) *fairqueue.Item {
	return &fairqueue.Item{Team: r.chat.team, Share: 1, Priority: settings.PriorityNormal, Work: settings.Tokens(r.decode),
		Deadline: s.instant().Add(time.Minute), Start: start}
}
