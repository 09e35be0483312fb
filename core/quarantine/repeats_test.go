package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
)

func digest(d call.RequestDigest) Request { return Request{Digest: d} }

// TestRequestThatCrashesUpstreamsIsFound covers the number of crashes, whatever shows of the time at which they happened.
func TestRequestThatCrashesUpstreamsIsFound(t *testing.T) {
	c := qt.New(t)
	tracker := &Tracker{}
	for i := range 3 {
		_, _, quarantined := tracker.Quarantined(at(30*i), digest(0xbad))
		c.Assert(quarantined, qt.IsFalse, qt.Commentf("after %d crashes", i))
		// A request that is sent on at once ends one upstream after the other.
		tracker.RecordCrash(at(30*i), instance(i), digest(0xbad), Weak)
		tracker.RecordCrash(at(30*i), instance(i), digest(call.RequestDigest(100+i)), Weak)
	}
	f, _, quarantined := tracker.Quarantined(at(100), digest(0xbad))
	c.Assert(quarantined, qt.IsTrue)
	c.Assert(f.Digest, qt.Equals, call.RequestDigest(0xbad))
	c.Assert(f.Crashes, qt.Equals, 3)
	for i := range 3 {
		_, _, quarantined := tracker.Quarantined(at(100), digest(call.RequestDigest(100+i)))
		c.Assert(quarantined, qt.IsFalse)
	}
}

// TestOneCrashCountsOnceAgainstARequest guards against reports of one crash by several routers, and of an upstream that loses answers
// without a crash, that count as many.
func TestOneCrashCountsOnceAgainstARequest(t *testing.T) {
	c := qt.New(t)
	tracker := &Tracker{}
	for i := range 20 {
		tracker.RecordCrash(at(400*i), instance(i%2), digest(0xbad), Strong)
	}
	_, _, quarantined := tracker.Quarantined(at(8000), digest(0xbad))
	c.Assert(quarantined, qt.IsFalse)
}

// TestLostAnswersDoNotHideACrash guards against an upstream that has lost so many answers before its crash that its suspects fill
// the bounds of the evidence.
func TestLostAnswersDoNotHideACrash(t *testing.T) {
	c := qt.New(t)
	tracker := &Tracker{}
	for i := range 3 {
		for j := range 2 * maxSuspects {
			tracker.RecordCrash(at(40*j), instance(i), digest(call.RequestDigest(1000*(i+1)+j)), Weak)
		}
	}
	for i := range 3 {
		tracker.RecordCrash(at(50_000+4000*i), instance(i), digest(0xbad), Weak)
	}
	_, _, quarantined := tracker.Quarantined(at(62_000), digest(0xbad))
	c.Assert(quarantined, qt.IsTrue)
}

// TestRepeatsDoNotBlameTheirPrompt guards against a sound prompt that is quarantined because of one request with it.
func TestRepeatsDoNotBlameTheirPrompt(t *testing.T) {
	c := qt.New(t)
	tracker := &Tracker{}
	bad := prompt(1, 2)
	bad.Digest = 0xbad
	now := crashAll(tracker, bad, bad, bad, bad)
	_, _, quarantined := tracker.Quarantined(now, bad)
	c.Assert(quarantined, qt.IsTrue)
	sound := prompt(1, 2)
	sound.Digest = 5
	_, _, quarantined = tracker.Quarantined(now, sound)
	c.Assert(quarantined, qt.IsFalse)
}

// TestAnsweredRepeatIsNotQuarantined covers a request that many clients send alike, such as a poll, and that is open at each crash.
func TestAnsweredRepeatIsNotQuarantined(t *testing.T) {
	c := qt.New(t)
	trackers := make([]Tracker, 2)
	for i := range 3 {
		trackers[0].RecordCrash(at(200*i), instance(i), digest(7), Weak)
	}
	e, _ := trackers[0].Since(at(600), 0)
	trackers[1].Merge(at(600), "0", e)
	trackers[1].RecordSurvival(at(650), digest(7))
	e, _ = trackers[1].Since(at(700), 0)
	c.Assert(e.Repeats, qt.DeepEquals, []RepeatSurvivals{{Digest: 7, Count: 1}})
	trackers[0].Merge(at(700), "1", e)
	for i := range trackers {
		_, _, quarantined := trackers[i].Quarantined(at(700), digest(7))
		c.Assert(quarantined, qt.IsFalse, qt.Commentf("router %d", i))
	}
}

// TestEvidenceForOlderPrograms checks that what is sent to programs that do not exchange digests has the fields that they decode, and
// that their evidence is understood.
func TestEvidenceForOlderPrograms(t *testing.T) {
	c := qt.New(t)
	type suspect struct {
		Blocks   []call.PromptBlockID
		Strength Strength
	}
	type crash struct {
		Upstream    string
		Incarnation int64
		Age         time.Duration
		Suspects    []suspect
	}
	type evidence struct {
		Crashes   []crash
		Survivals []Survivals
	}
	tracker := &Tracker{}
	bad := prompt(1, 2)
	bad.Digest = 0xbad
	tracker.RecordCrash(at(0), instance(1), bad, Strong)
	tracker.RecordCrash(at(0), instance(2), digest(9), Weak)
	full, _ := tracker.Since(at(0), 0)
	body, err := msgpack.Marshal(full)
	c.Assert(err, qt.IsNil)
	var decoded Evidence
	c.Assert(msgpack.Unmarshal(body, &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, full)

	// The links encode structs as arrays.
	encoded := func(v any) []byte {
		var b writer
		enc := msgpack.NewEncoder(&b)
		enc.UseArrayEncodedStructs(true)
		c.Assert(enc.Encode(v), qt.IsNil)
		return b
	}
	var old evidence
	c.Assert(msgpack.Unmarshal(encoded(full.WithoutDigests()), &old), qt.IsNil)
	want := evidence{Crashes: []crash{{Upstream: "u1", Incarnation: 1, Suspects: []suspect{{[]call.PromptBlockID{1, 2}, Strong}}}}}
	c.Assert(old, qt.DeepEquals, want)
	c.Assert(msgpack.Unmarshal(encoded(old), &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, full.WithoutDigests())
}

type writer []byte

func (w *writer) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// repeatLoad is the load of the incident on a virtual clock: one request that crashes each plain upstream shortly after its arrival,
// among sound ones that the crashes take with them. All are sent on to another upstream, and clients send them once more.
type repeatLoad struct {
	routers, upstreams int
	// perSecond and repeatsPerSecond are the rates of sound requests and of the one that crashes upstreams.
	perSecond, repeatsPerSecond float64
	// exchange is the longest time until a router has the evidence of another one.
	exchange time.Duration
}

// Times of a request in a repeatLoad.
const (
	serviceTime = 60 * time.Millisecond
	ruinTime    = 50 * time.Millisecond
	returnTime  = 300 * time.Millisecond
)

type openRequest struct {
	router, attempts, tries int
	req                     Request
	at                      clock.Instant
	repeat                  bool
}

func (l repeatLoad) run(seed uint64, length time.Duration) outcome {
	r := rand.New(rand.NewPCG(seed, 2))
	trackers := make([]Tracker, l.routers)
	links := newTransit(r, l.routers, l.exchange)
	open := make([][]openRequest, l.upstreams)
	upAt := make([]clock.Instant, l.upstreams)
	processes := make([]members.Instance, l.upstreams)
	for i := range processes {
		processes[i] = instance(i)
	}
	var returning []openRequest
	var out outcome
	var third clock.Instant
	place := func(now clock.Instant, q openRequest) {
		if _, _, quarantined := trackers[q.router].Quarantined(now, q.req); quarantined {
			if !q.repeat {
				out.refused++
			}
			return
		}
		first := r.IntN(l.upstreams)
		for i := range l.upstreams {
			u := (first + i) % l.upstreams
			if upAt[u] > now {
				continue
			}
			if q.repeat && third != 0 && now.Sub(third) > 3*time.Second {
				out.late++
			}
			q.at = now
			open[u] = append(open[u], q)
			return
		}
	}
	const tick = 5 * time.Millisecond
	n := len(processes)
	for now := at(0); now < at(0).Add(length); now = now.Add(tick) {
		for p := l.perSecond * tick.Seconds(); r.Float64() < p; p-- {
			out.sound++
			place(now, openRequest{router: r.IntN(l.routers), req: digest(call.RequestDigest(r.Uint64()))})
		}
		if r.Float64() < l.repeatsPerSecond*tick.Seconds() {
			place(now, openRequest{router: r.IntN(l.routers), req: digest(0xbad), repeat: true})
		}
		var later []openRequest
		for _, q := range returning {
			if q.at > now {
				later = append(later, q)
				continue
			}
			q.router = r.IntN(l.routers)
			place(now, q)
		}
		returning = later
		for u := range open {
			crashed := false
			var left []openRequest
			for _, q := range open[u] {
				crashed = crashed || (q.repeat && now.Sub(q.at) >= ruinTime)
				if now.Sub(q.at) >= serviceTime {
					trackers[q.router].RecordSurvival(now, q.req)
					continue
				}
				left = append(left, q)
			}
			open[u] = left
			if !crashed {
				continue
			}
			if out.crashes++; out.crashes == 3 {
				third = now
			}
			victims := open[u]
			open[u], upAt[u] = nil, now.Add(downTime)
			for _, q := range victims {
				trackers[q.router].RecordCrash(now, processes[u], q.req, Weak)
			}
			n++
			processes[u] = instance(n)
			for _, q := range victims {
				if q.attempts++; q.attempts < 2 {
					place(now, q)
					continue
				}
				if q.tries++; q.tries < 2 {
					q.attempts, q.at = 0, now.Add(time.Duration(r.Float64()*float64(returnTime)))
					returning = append(returning, q)
				}
			}
		}
		links.exchange(now, trackers)
	}
	return out
}

// TestLoadOfRepeatsIsContained replays the load of the incident, and that of a fleet of 103 routers.
func TestLoadOfRepeatsIsContained(t *testing.T) {
	fleets := map[string]repeatLoad{
		"4 routers":         {routers: 4, upstreams: 3, perSecond: 47, repeatsPerSecond: 3, exchange: 100 * time.Millisecond},
		"4 routers, rare":   {routers: 4, upstreams: 3, perSecond: 47, repeatsPerSecond: 0.5, exchange: 100 * time.Millisecond},
		"103 routers":       {routers: 103, upstreams: 6, perSecond: 390, repeatsPerSecond: 10, exchange: time.Second},
		"103 routers, rare": {routers: 103, upstreams: 6, perSecond: 390, repeatsPerSecond: 1, exchange: time.Second},
	}
	for name, l := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				c := qt.New(t)
				out := l.run(seed, 15*time.Second)
				c.Check(out.crashes >= 3, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, out))
				c.Check(out.late <= 3, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, out))
				// Those that were open at each of the crashes cannot be told from the cause.
				c.Check(out.refused*200 <= out.sound, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, out))
			}
		})
	}
}
