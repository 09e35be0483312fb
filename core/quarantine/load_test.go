package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
)

// load is the load of the incident on a virtual clock: chats with a first block out of few and a second out of many, whose answers
// begin after prefill and last some time, and chats with one block that crashes the engine shortly after the answer has begun.
type load struct {
	routers, engines int
	// perSecond and crashingPerSecond are the rates of sound and of crashing requests.
	perSecond, crashingPerSecond float64
	// exchange is the longest time until a router has the evidence of another one.
	exchange time.Duration
	// restart is when all routers lose what they know, 0 for never.
	restart time.Duration
	// rolling is when the routers begin to restart in turn, each rollingGap after the one before, 0 for never.
	rolling time.Duration
	// crashing returns the n-th crashing request.
	crashing func(n int) Request
}

// outcome counts what happened in a load.
type outcome struct {
	crashes int
	// late is the number of crashing requests that reached engines later than three seconds after the fifth crash and, if the
	// routers restart, after that.
	late int
	// refused is the number of sound requests that were quarantined, sound that of all.
	refused, sound int
}

// Times of a chat in a load.
const (
	step        = 10 * time.Millisecond
	prefillTime = 80 * time.Millisecond
	eventTime   = 40 * time.Millisecond
	answerTime  = 1500 * time.Millisecond
	crashAfter  = 70 * time.Millisecond
	downTime    = 3500 * time.Millisecond
	beginning   = 500 * time.Millisecond
	rollingGap  = 500 * time.Millisecond
)

type chat struct {
	router   int
	request  Request
	sent     clock.Instant
	crashing bool
	survived bool
}

func (l load) run(seed uint64, length time.Duration) outcome {
	r := rand.New(rand.NewPCG(seed, 1))
	trackers := make([]Tracker, l.routers)
	links := newTransit(r, l.routers, l.exchange)
	engines := make([][]*chat, l.engines)
	upAt := make([]clock.Instant, l.engines)
	incarnations := 0
	processes := make([]members.Instance, l.engines)
	for i := range processes {
		incarnations++
		processes[i] = instance(incarnations)
	}
	var out outcome
	var fifth, restarted clock.Instant
	n := 0
	for now := at(0); now < at(0).Add(length); now = now.Add(step) {
		if l.restart > 0 && restarted == 0 && now >= at(0).Add(l.restart) {
			restarted = now
			trackers, links = make([]Tracker, l.routers), newTransit(r, l.routers, l.exchange)
		}
		if l.rolling > 0 {
			// A router that has started requests all evidence from some others, which may have started before it.
			since := now.Sub(at(0).Add(l.rolling))
			if i := int(since / rollingGap); since >= 0 && since%rollingGap == 0 && i < l.routers {
				trackers[i], links.sent[i] = Tracker{}, 0
				for j := 1; j <= min(3, l.routers-1); j++ {
					from := (i + j) % l.routers
					trackers[i].Merge(now, transitRouter(from), trackers[from].All(now))
				}
			}
		}
		arrive := func(req Request, crashing bool) {
			// No two requests are alike.
			req.Digest = call.RequestDigest(r.Uint64())
			router, engine := r.IntN(l.routers), r.IntN(l.engines)
			if !crashing {
				out.sound++
			}
			if _, _, quarantined := trackers[router].Quarantined(now, req); quarantined {
				if !crashing {
					out.refused++
				}
				return
			}
			if upAt[engine] > now {
				return
			}
			if crashing && fifth != 0 && now.Sub(max(fifth, restarted)) > 3*time.Second {
				out.late++
			}
			engines[engine] = append(engines[engine], &chat{router: router, request: req, sent: now, crashing: crashing})
		}
		for p := l.perSecond * step.Seconds(); r.Float64() < p; p-- {
			arrive(prompt(call.PromptBlockID(1+r.IntN(20)), call.PromptBlockID(1000+r.IntN(120))), false)
		}
		if r.Float64() < l.crashingPerSecond*step.Seconds() {
			n++
			arrive(l.crashing(n), true)
		}
		for i := range engines {
			crashed := false
			kept := engines[i][:0]
			for _, ch := range engines[i] {
				age := now.Sub(ch.sent)
				crashed = crashed || (ch.crashing && age >= prefillTime+crashAfter)
				if !ch.survived && !ch.crashing && age >= prefillTime+beginning {
					ch.survived = true
					trackers[ch.router].RecordSurvival(now, ch.request)
				}
				if age < prefillTime+answerTime {
					kept = append(kept, ch)
				}
			}
			engines[i] = kept
			if !crashed {
				continue
			}
			out.crashes++
			if out.crashes == 5 {
				fifth = now
			}
			for _, ch := range engines[i] {
				switch age := now.Sub(ch.sent); {
				case age < prefillTime, age >= prefillTime+eventTime && !ch.crashing && age < prefillTime+beginning:
					trackers[ch.router].RecordCrash(now, processes[i], ch.request, Weak)
				case age < prefillTime+beginning:
					trackers[ch.router].RecordCrash(now, processes[i], ch.request, Strong)
				}
			}
			engines[i] = nil
			upAt[i] = now.Add(downTime)
			incarnations++
			processes[i] = instance(incarnations)
		}
		links.exchange(now, trackers)
	}
	return out
}

// TestLoadOfTheIncidentIsContained replays the load of the incident, and that of a fleet of 103 routers, with different prompts
// around the crashing block.
func TestLoadOfTheIncidentIsContained(t *testing.T) {
	prompts := map[string]func(n int) Request{
		"constant":          func(int) Request { return prompt(3, 0xbad) },
		"shared before":     func(n int) Request { return prompt(call.PromptBlockID(1+n%20), 0xbad) },
		"shared behind":     func(n int) Request { return prompt(0xbad, call.PromptBlockID(1000+n%120)) },
		"shared on its way": func(n int) Request { return prompt(3, 0xbad, call.PromptBlockID(1000+n%120)) },
	}
	fleets := map[string]load{
		"4 routers, rare": {routers: 4, engines: 18, perSecond: 130, crashingPerSecond: 1, exchange: 100 * time.Millisecond},
		"4 routers that restart": {routers: 4, engines: 18, perSecond: 130, crashingPerSecond: 1, exchange: 100 * time.Millisecond,
			restart: 7 * time.Second},
		"4 routers that restart in turn": {routers: 4, engines: 18, perSecond: 130, crashingPerSecond: 5, exchange: 100 * time.Millisecond,
			rolling: 6 * time.Second},
		"4 routers":         {routers: 4, engines: 18, perSecond: 130, crashingPerSecond: 5, exchange: 100 * time.Millisecond},
		"103 routers":       {routers: 103, engines: 160, perSecond: 500, crashingPerSecond: 10, exchange: time.Second},
		"103 routers, rare": {routers: 103, engines: 160, perSecond: 500, crashingPerSecond: 2, exchange: time.Second},
	}
	for name, l := range fleets {
		for kind, crashing := range prompts {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					c := qt.New(t)
					l := l
					l.crashing = crashing
					out := l.run(seed, 12*time.Second)
					c.Check(out.late <= 3, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, out))
					c.Check(out.refused*100 <= out.sound, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, out))
				}
			})
		}
	}
}

// TestOtherCrashesQuarantineNothing replays engines that crash for reasons of their own, one each half a second, for forty
// seconds.
func TestOtherCrashesQuarantineNothing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		// Each crashing request has blocks of its own, so nothing that requests share is to blame.
		l := load{routers: 4, engines: 18, perSecond: 130, crashingPerSecond: 2, exchange: 100 * time.Millisecond,
			crashing: func(n int) Request {
				return prompt(call.PromptBlockID(1_000_000+n), call.PromptBlockID(2_000_000+n))
			}}
		out := l.run(seed, 40*time.Second)
		c.Check(out.refused, qt.Equals, 0, qt.Commentf("seed %d: %+v", seed, out))
	}
}
