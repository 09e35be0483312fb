package engines

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/warmup"
)

// fakeCache counts the queries to each engine.
type fakeCache struct {
	mu      sync.Mutex
	queries map[settings.UpstreamID]int
	err     error
}

func (f *fakeCache) CachedBlocks(_ context.Context, inst members.Instance) ([]call.PromptBlock, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries[inst.ID]++
	return []call.PromptBlock{{ID: 7, Tokens: 100}}, f.err
}

// fakeRouters is a fixed state of the other routers.
type fakeRouters struct {
	reachable       []string
	entriesReceived bool
	queried         map[settings.UpstreamID]bool
}

func (r *fakeRouters) Reachable() []string                              { return r.reachable }
func (r *fakeRouters) CacheEntriesReceived() bool                       { return r.entriesReceived }
func (r *fakeRouters) CacheQueriedByOthers(id settings.UpstreamID) bool { return r.queried[id] }

func newWarmup(address string, cache CacheReader, routers *fakeRouters) *Warmup {
	registry := &members.Registry{}
	var list []members.Change
	for _, id := range []settings.UpstreamID{"e1", "e2", "e3", "e4", "e5", "e6"} {
		list = append(list, members.Change{ID: id, Revision: 1, Instance: members.Instance{ID: id, Service: "letters"}})
	}
	registry.Replace(1, 1, list)
	return &Warmup{
		Address: address, Seeds: []string{"a", "b", "c"}, Cache: cache, Routers: routers, Members: registry,
		Affinity: &affinity.Index{}, Clock: clock.Boot{},
		Services: func() []settings.ServiceName { return []settings.ServiceName{"letters"} },
		Log:      log.New(io.Discard), Scope: tally.NoopScope,
	}
}

// queryAll runs the queries that are assigned to a router at a time after its start, and waits for them. It reports
// whether every engine had been queried before.
func queryAll(w *Warmup, elapsed time.Duration) bool {
	var wg sync.WaitGroup
	all := w.queryAssigned(context.Background(), elapsed, make(chan struct{}, maxOpenQueries), &wg)
	wg.Wait()
	return all
}

// wasRead reports whether a router knows what the cache of an engine's process 5 lacks.
func wasRead(w *Warmup, id settings.UpstreamID) bool {
	_, ok := w.Affinity.ReadAge(clock.Boot{}.Now(), id, 5)
	return ok
}

// TestEachEngineIsQueriedOnce starts a fleet at once, so that no router has reached another one: the routers that the
// settings name divide the engines among them.
func TestEachEngineIsQueriedOnce(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int)}
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		queryAll(newWarmup(address, cache, &fakeRouters{}), 0)
	}
	c.Assert(cache.queries, qt.HasLen, 6)
	for id, n := range cache.queries {
		c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// TestTakeoverQueriesOnlyRemainingEngines takes over when other routers have queried some of the engines.
func TestTakeoverQueriesOnlyRemainingEngines(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int)}
	queried := map[settings.UpstreamID]bool{"e1": true, "e2": true, "e3": true, "e4": true}
	later := newWarmup("a", cache, &fakeRouters{queried: queried})
	c.Assert(queryAll(later, warmup.TakeoverDelay), qt.IsFalse)
	c.Assert(later.Queried(), qt.HasLen, 2)
	c.Assert(queryAll(later, warmup.TakeoverDelay), qt.IsTrue)
	c.Assert(cache.queries, qt.HasLen, 2)
}

// TestFailedQueryIsNotRepeated covers engines that are down while the routers start.
func TestFailedQueryIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int), err: errors.New("down")}
	w := newWarmup("a", cache, &fakeRouters{})
	queryAll(w, warmup.TakeoverDelay)
	c.Assert(queryAll(w, warmup.TakeoverDelay), qt.IsTrue)
	for id, n := range cache.queries {
		c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// TestLeavingEnginesAreQueriedAmongVersions guards against streams that go on nowhere because the engine that began them, or one that may
// have, was leaving as the routers started. With one version nothing depends on its list.
func TestLeavingEnginesAreQueriedAmongVersions(t *testing.T) {
	for _, version := range []members.Version{"v1", "v2"} {
		t.Run(string(version), func(t *testing.T) {
			c := qt.New(t)
			cache := &fakeCache{queries: make(map[settings.UpstreamID]int)}
			w := newWarmup("a", cache, &fakeRouters{})
			w.Members.Apply(2, []members.Change{
				{ID: "e1", Revision: 2, Instance: members.Instance{ID: "e1", Service: "letters", Version: "v1", Draining: true, Incarnation: 5}},
				{ID: "e2", Revision: 2, Instance: members.Instance{ID: "e2", Service: "letters", Version: version}},
				{ID: "e3", Revision: 2, Removed: true}, {ID: "e4", Revision: 2, Removed: true},
				{ID: "e5", Revision: 2, Removed: true}, {ID: "e6", Revision: 2, Removed: true},
			})
			queryAll(w, warmup.TakeoverDelay)
			queryAll(w, 2*time.Second)
			c.Assert(cache.queries["e1"], qt.Equals, map[members.Version]int{"v1": 0, "v2": 1}[version])
			c.Assert(wasRead(w, "e1"), qt.Equals, version == "v2")
		})
	}
}

func TestNoQueriesWhenEntriesAreReceived(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int)}
	newWarmup("a", cache, &fakeRouters{entriesReceived: true}).warmUp(context.Background())
	c.Assert(cache.queries, qt.HasLen, 0)
}

// TestCachesAreReadOnDemand guards against streams that go on nowhere after the loss of most routers: those that are left pass on where
// prompts are cached, but not what the engines list.
func TestCachesAreReadOnDemand(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int)}
	start := func(address string, reachable ...string) *Warmup {
		w := newWarmup(address, cache, &fakeRouters{entriesReceived: true, reachable: reachable})
		var list []members.Change
		for _, inst := range w.Members.Serving("letters") {
			inst.Incarnation = 5
			list = append(list, members.Change{ID: inst.ID, Revision: 2, Instance: inst})
		}
		w.Members.Apply(1, list)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = w.Run(ctx, func() {}) })
		t.Cleanup(func() { cancel(); wg.Wait() })
		return w
	}
	queries := func() (engines, queries int) {
		cache.mu.Lock()
		defer cache.mu.Unlock()
		for _, n := range cache.queries {
			queries += n
		}
		return len(cache.queries), queries
	}
	routers := []*Warmup{start("a", "b", "x"), start("b", "a", "x")}
	time.Sleep(5 * pollInterval)
	n, _ := queries()
	c.Assert(n, qt.Equals, 0)
	for range 20 {
		routers[0].Demand("letters", 0)
		routers[1].Demand("letters", 0)
	}
	time.Sleep(5 * pollInterval)
	n, total := queries()
	c.Assert(n < 6, qt.IsTrue, qt.Commentf("the engines of a router without such streams are left to it at first"))
	c.Assert(total, qt.Equals, n, qt.Commentf("each engine is queried by one router"))
	time.Sleep(warmup.TakeoverDelay)
	n, total = queries()
	c.Assert(n, qt.Equals, 6)
	c.Assert(total <= 12, qt.IsTrue)
	for _, inst := range routers[0].Members.Serving("letters") {
		read := func(w *Warmup) bool { return wasRead(w, inst.ID) }
		c.Assert(read(routers[0]) || read(routers[1]), qt.IsTrue)
	}
	time.Sleep(demandTime)
	for _, w := range routers {
		w.Demand("letters", 0)
		w.Demand("drafts", 0)
	}
	time.Sleep(warmup.TakeoverDelay + 5*pollInterval)
	_, again := queries()
	c.Assert(again <= 12, qt.IsTrue, qt.Commentf("a process is queried once in rereadTime by a router"))
	// A router has been lost since.
	lost := clock.Boot{}.Now()
	_, before := queries()
	for range 20 {
		for _, w := range routers {
			w.Demand("letters", lost)
		}
	}
	time.Sleep(warmup.TakeoverDelay + 5*pollInterval)
	_, after := queries()
	c.Assert(after-before >= 6 && after-before <= 12, qt.IsTrue, qt.Commentf("%d reads after the loss", after-before))
	for _, inst := range routers[0].Members.Serving("letters") {
		age, ok := routers[0].Affinity.ReadAge(clock.Boot{}.Now(), inst.ID, 5)
		other, okOther := routers[1].Affinity.ReadAge(clock.Boot{}.Now(), inst.ID, 5)
		c.Assert(ok || okOther, qt.IsTrue)
		c.Assert(min(age, other) < clock.Boot{}.Now().Sub(lost), qt.IsTrue)
	}
}

// TestEngineThatFailedOnceStaysUnread guards against a cache that is not read again for as long as one that has been listed, and whose failure
// nobody knows of.
func TestEngineThatFailedOnceStaysUnread(t *testing.T) {
	c := qt.New(t)
	cache := &fakeCache{queries: make(map[settings.UpstreamID]int), err: errors.New("down")}
	w := newWarmup("a", cache, &fakeRouters{entriesReceived: true})
	w.Members.Apply(1, []members.Change{{ID: "e1", Revision: 2, Instance: members.Instance{ID: "e1", Service: "letters", Incarnation: 5}}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = w.Run(ctx, func() {}) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	// until demands caches until ok holds, and returns whether it did in time.
	until := func(limit time.Duration, ok func() bool) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
			if ok() {
				return true
			}
			w.Demand("letters", 0)
		}
		return false
	}
	c.Assert(until(demandTime, func() bool {
		_, failed := w.Affinity.FailedReadAge(clock.Boot{}.Now(), "e1", 5)
		return failed
	}), qt.IsTrue)
	c.Assert(wasRead(w, "e1"), qt.IsFalse)
	cache.mu.Lock()
	cache.err = nil
	cache.mu.Unlock()
	c.Assert(until(retryTime+2*demandTime, func() bool { return wasRead(w, "e1") }), qt.IsTrue)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	c.Assert(cache.queries["e1"] <= 3, qt.IsTrue, qt.Commentf("%d queries", cache.queries["e1"]))
}
