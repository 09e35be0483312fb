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

// Parameters of the simulation. Times are in seconds of the virtual clock.
const (
	arrivalRate        = 2.0 // requests per engine per second
	chatsPerEngine     = 100
	routerCount        = 4
	runDuration        = 300.0
	largeFleetDuration = 90.0 // of fleets with largeFleetEngines or more
	warmUp             = 40.0 // time before requests are measured
	sampleInterval     = 0.25
	churnInterval      = 60.0
	outageDuration     = 30.0
	maxRemovalDelay    = 5.0       // until the routers have removed an engine that went down
	responseTimeout    = 2.0       // until a router gives up on an unresponsive engine
	prefillRate        = 4000.0    // tokens per second per engine
	decodeRate         = 30.0      // tokens per second per stream
	maxRunning         = 32        // requests per engine
	fullSpeedStreams   = 16        // streams per engine that run at decodeRate; more streams share the same total rate
	cacheCapacity      = 600_000   // tokens per engine
	kvBytesPerToken    = 128 << 10 // size of the KV cache
	transferRate       = 10e9      // bytes per second between engines
	surgeFactor        = 10        // multiplies the arrival rate of the surging team
	surgingTeamChats   = 60        // chats of the surging team for every 20 engines
	largeFleetEngines  = 200
	minInFlight        = 8 // requests per engine; the skew is measured only above it
	surgingTeam        = settings.TeamID("team-0")
	teamCount          = 10
	maxContextTokens   = 12_000 // a chat that exceeds it continues with a shorter context
	newChatProbability = 0.08
)

var scenarioNames = []string{"calm", "surge", "churn", "churn_surge", "view_disagreement", "silent_engine", "stale_mean"}

// config is one combination of fleet size, multiple, scenario and policy.
type config struct {
	engines  int
	multiple float64
	scenario string
	policy   string
}

// stats holds the sums and samples of one run.
type stats struct {
	requests, refused, sideRequests, samples                         int
	reusedTokens, returningTokens, samplesWithinMultiple, movedBytes float64
	controlRate, inFlightSum                                         float64
	skews, ttftOthers, ttftSurging                                   []float64
}

// event is a function that runs at a time of the virtual clock.
type event struct {
	at  float64
	run func()
}

// eventHeap orders events by time and implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// chat is a sequence of requests whose context grows with each request.
type chat struct {
	id            uint64
	team          settings.TeamID
	contextTokens float64
	returning     bool // it had a request before, or its context was cached at the start
}

// sim is the state of one run.
type sim struct {
	config
	rng          *rand.Rand
	now          float64
	pending      eventHeap
	engines      []*engine
	engineIndex  map[settings.UpstreamID]int
	chats        []*chat
	surgingChats []*chat
	policy       policy
	stats        stats
	end          float64
}

func newSim(c config, seed uint64) *sim {
	s := &sim{config: c, rng: rand.New(rand.NewPCG(seed, 7)), engineIndex: make(map[settings.UpstreamID]int), end: runDuration}
	if c.engines >= largeFleetEngines {
		s.end = largeFleetDuration
	}
	for i := range c.engines {
		e := newEngine(i)
		s.engines = append(s.engines, e)
		s.engineIndex[e.id] = i
	}
	for range c.engines * chatsPerEngine {
		s.chats = append(s.chats, s.newChat(s.drawTeam()))
	}
	for range surgingTeamChats * max(1, c.engines/20) {
		s.surgingChats = append(s.surgingChats, s.newChat(surgingTeam))
	}
	s.policy = newPolicy(s)
	s.fillCaches()
	return s
}

// fillCaches stores the context of each chat at its primary, the engine that ranks first for it.
func (s *sim) fillCaches() {
	var ids []settings.UpstreamID
	for _, e := range s.engines {
		ids = append(ids, e.id)
	}
	set := rendezvous.New(ids)
	for _, c := range slices.Concat(s.chats, s.surgingChats) {
		primary, _ := set.Primary(c.id)
		s.engines[s.engineIndex[primary]].store(c.id, c.contextTokens)
		s.policy.cacheFilled(c, s.engines[s.engineIndex[primary]])
		c.returning = true
		c.contextTokens += 200
	}
}

// drawTeam draws a team for a chat. It draws team-1 most often and team-0, the surging team, least often.
func (s *sim) drawTeam() settings.TeamID {
	i := min(s.rng.IntN(teamCount), s.rng.IntN(teamCount))
	return settings.TeamID("team-" + string(rune('0'+(i+1)%teamCount)))
}

func (s *sim) newChat(team settings.TeamID) *chat {
	c := &chat{id: s.rng.Uint64(), team: team, contextTokens: 300 + 1200*s.rng.Float64()}
	if s.rng.Float64() < 0.4 {
		c.contextTokens = 2000 + 6000*s.rng.Float64()
	}
	return c
}

func (s *sim) schedule(t float64, run func()) { heap.Push(&s.pending, event{at: t, run: run}) }

func (s *sim) instant() clock.Instant {
	return clock.Instant(time.Hour) + clock.Instant(s.now*float64(time.Second))
}

func (s *sim) isScenario(names ...string) bool {
	for _, name := range names {
		if s.scenario == name {
			return true
		}
	}
	return false
}

func (s *sim) run() stats {
	s.schedule(0, s.arrive)
	s.scheduleEvery(sampleInterval, s.sampleLoad)
	s.scheduleEvery(meanload.ExchangeInterval.Seconds(), s.policy.tick)
	if s.isScenario("churn", "churn_surge") {
		s.scheduleEvery(churnInterval, func() { s.loseEngine(maxRemovalDelay) })
	}
	if s.isScenario("silent_engine") {
		s.scheduleEvery(churnInterval, func() { s.loseEngine(-1) })
	}
	for len(s.pending) > 0 && s.now < s.end {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.run()
	}
	s.stats.controlRate = s.policy.controlRate()
	return s.stats
}

func (s *sim) scheduleEvery(interval float64, run func()) {
	var repeat func()
	repeat = func() {
		run()
		s.schedule(s.now+interval, repeat)
	}
	s.schedule(interval, repeat)
}

func (s *sim) surgeActive() bool {
	return s.isScenario("surge", "churn_surge") && s.now > s.end*0.4 && s.now < s.end*0.8
}

// arrive submits one request and schedules the next arrival.
func (s *sim) arrive() {
	rate := arrivalRate * float64(s.config.engines)
	teamRate := rate * 0.02
	extra := 0.0
	if s.surgeActive() {
		extra = teamRate * (surgeFactor - 1)
	}
	s.schedule(s.now+s.rng.ExpFloat64()/(rate+extra), s.arrive)
	c := s.drawChat(s.rng.Float64()*(rate+extra) < extra+teamRate)
	s.submit(newRequest(s, c))
}

// drawChat draws the chat of the next request. Outside the surging team's list, it may replace a chat by a new one.
func (s *sim) drawChat(surging bool) *chat {
	if surging {
		return s.surgingChats[s.rng.IntN(len(s.surgingChats))]
	}
	i := s.rng.IntN(len(s.chats))
	if s.rng.Float64() < newChatProbability {
		s.chats[i] = s.newChat(s.drawTeam())
	}
	return s.chats[i]
}

// sampleLoad records the skew, which is the largest load of an available engine divided by the mean load.
func (s *sim) sampleLoad() {
	if s.now < warmUp {
		return
	}
	var sum, largest, inFlight, available float64
	for _, e := range s.engines {
		if e.down || e.unresponsive {
			continue
		}
		available++
		sum += float64(e.load)
		largest = max(largest, float64(e.load))
		inFlight += float64(len(e.running) + e.scheduler.Queued())
	}
	s.stats.samples++
	s.stats.inFlightSum += inFlight / available
	if inFlight/available <= minInFlight {
		return
	}
	skew := largest * available / sum
	s.stats.skews = append(s.stats.skews, skew)
	if skew <= s.multiple {
		s.stats.samplesWithinMultiple++
	}
}

// loseEngine makes a random engine fail for outageDuration. If maxDelay is negative, the engine becomes unresponsive.
// Otherwise it refuses connections, and the routers remove it after a random delay of at most maxDelay.
// The engine's requests are submitted again, after responseTimeout if the engine is unresponsive.
func (s *sim) loseEngine(maxDelay float64) {
	e := s.engines[s.rng.IntN(len(s.engines))]
	if e.down || e.unresponsive {
		return
	}
	lost := e.fail(maxDelay < 0)
	if maxDelay >= 0 {
		s.policy.scheduleRemoval(e, s.rng.Float64()*maxDelay)
	}
	delay := 0.0
	if maxDelay < 0 {
		delay = responseTimeout
	}
	for _, r := range lost {
		s.schedule(s.now+delay, func() { s.submit(r.detach()) })
	}
	s.schedule(s.now+outageDuration, func() {
		e.reset()
		s.policy.engineRecovered(e)
	})
}

// submit places a request and delivers it after the time spent on unresponsive engines.
func (s *sim) submit(r *request) {
	p := s.policy.place(r)
	if r.counted {
		s.stats.sideRequests += p.sideRequests
	} else if s.now >= warmUp {
		r.counted = true
		s.stats.requests++
		s.stats.sideRequests += p.sideRequests
	}
	if !p.ok {
		if r.counted {
			s.stats.refused++
		}
		return
	}
	s.schedule(s.now+p.delay, func() { s.deliver(r, p) })
}

// deliver hands a request to its engine, or places it again if the engine has failed in the meantime.
func (s *sim) deliver(r *request, p placement) {
	e := s.engines[p.engine]
	if e.down || e.unresponsive {
		s.policy.deliveryFailed(r, e)
		s.submit(r)
		return
	}
	e.enqueue(s, r, p)
}

// queueItem returns the request's item for the fair queue of an engine.
func (s *sim) queueItem(r *request, start func()) *fairqueue.Item {
	return &fairqueue.Item{Team: r.chat.team, Share: 1, Priority: settings.PriorityNormal, Work: settings.Tokens(r.decodeTokens),
		Deadline: s.instant().Add(time.Minute), Start: start}
}
