package engines

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/warmup"
)

// Times of the warm-up.
const (
	// peerWait is how long a starting router waits for another router that may still have the cache entries.
	peerWait = 100 * time.Millisecond
	// queryTimeout bounds the query to one engine. warmupTimeout is after how long the router takes requests although the
	// warm-up has not ended.
	queryTimeout  = 400 * time.Millisecond
	warmupTimeout = 500 * time.Millisecond
	// reportTime is how long the queried engines are reported to the other routers, as long as a fleet takes to start.
	reportTime = 5 * time.Second
	// recoveryTime bounds the warm-up. Entries that are missing after it are recorded when their prompts are used.
	recoveryTime = 3 * time.Second
	// pollInterval is how often the progress of the warm-up is checked.
	pollInterval = 20 * time.Millisecond
)

// maxOpenQueries bounds the queries that are open at one time.
const maxOpenQueries = 8

// CacheReader queries an engine for the prompt blocks that it caches.
type CacheReader interface {
	CachedBlocks(ctx context.Context, inst members.Instance) ([]call.PromptBlock, error)
}

// Routers reports the state of the other routers.
type Routers interface {
	Reachable() []string
	// CacheEntriesReceived reports whether one of them has sent its cache entries.
	CacheEntriesReceived() bool
	// CacheQueriedByOthers reports whether one of them has queried an engine.
	CacheQueriedByOthers(id settings.UpstreamID) bool
}

// Warmup recovers the cache index after a restart: from another router that still has it or, if all routers restarted at
// once, from the engines. Each engine is queried by one router, which passes the result on to the others.
type Warmup struct {
	// Address is the address of this router, Seeds are those of the routers that the settings name.
	Address string
	Seeds   []string
	// FirstStart disables the warm-up: the system starts for the first time, with empty caches.
	FirstStart bool
	Cache      CacheReader
	Routers    Routers
	Members    *members.Registry
	// Services returns the services whose upstreams cache prompts, nil while there are no declarations.
	Services func() []settings.ServiceName
	Affinity *affinity.Index
	Clock    interface{ Now() clock.Instant }
	Log      *log.Logger
	Scope    tally.Scope

	warm      atomic.Bool
	complete  atomic.Bool
	readyChan chan struct{}
	readyInit sync.Once
	readyOnce sync.Once

	mu sync.Mutex
	// started holds the engines whose query this router has started, queried those whose query has succeeded or failed.
	started     map[settings.UpstreamID]bool
	queried     []settings.UpstreamID
	reportUntil clock.Instant

	demand demands
}

// Queried returns the engines that this router has queried, or nil once reportTime has passed since the last query.
func (w *Warmup) Queried() []settings.UpstreamID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queried) == 0 || w.reportUntil < w.Clock.Now() {
		return nil
	}
	return slices.Clone(w.queried)
}

// ready returns a channel that is closed when Warm becomes true.
func (w *Warmup) ready() chan struct{} {
	w.readyInit.Do(func() { w.readyChan = make(chan struct{}) })
	return w.readyChan
}

func (w *Warmup) setWarm() {
	w.readyOnce.Do(func() {
		w.warm.Store(true)
		close(w.ready())
	})
}

// Wait waits until the warm-up has ended or warmupTimeout has passed, ctx ends, or the limit is reached.
func (w *Warmup) Wait(ctx context.Context, limit time.Duration) {
	if w.warm.Load() {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String returns the service's name.
func (w *Warmup) String() string { return "inventory" }

// Warm reports whether the warm-up has ended or warmupTimeout has passed.
func (w *Warmup) Warm() bool { return w.warm.Load() }

// Complete reports whether the warm-up has ended, so that this router can send its cache entries to one that starts.
func (w *Warmup) Complete() bool { return w.complete.Load() }

// Run warms up the cache index once and waits until ctx ends.
func (w *Warmup) Run(ctx context.Context, ready func()) error {
	ready()
	if !w.FirstStart && w.waitForMembers(ctx) {
		w.warmUp(ctx)
	}
	w.complete.Store(true)
	w.setWarm()
	w.serveDemands(ctx)
	return nil
}

// warmUp waits for the cache entries of another router and, after peerWait, queries the engines assigned to this one.
func (w *Warmup) warmUp(ctx context.Context) {
	timer := time.AfterFunc(warmupTimeout, w.setWarm)
	defer timer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOpenQueries)
	start := w.Clock.Now()
	for {
		elapsed := w.Clock.Now().Sub(start)
		switch {
		case w.Routers.CacheEntriesReceived():
			w.Log.Info("cached prompts learnt from a router", "parts", w.Affinity.Size(), "after_ms", elapsed.Milliseconds())
			return
		case elapsed >= recoveryTime, elapsed >= peerWait && w.queryAssigned(ctx, elapsed, slots, &wg):
			w.Log.Info("inventory made", "engines", len(w.Queried()), "parts", w.Affinity.Size(), "after_ms", elapsed.Milliseconds())
			return
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// queryAssigned starts the queries that are assigned to this router, and reports whether every engine had been queried by
// some router before.
func (w *Warmup) queryAssigned(ctx context.Context, elapsed time.Duration, slots chan struct{}, wg *sync.WaitGroup) bool {
	state := warmup.State{Self: w.Address, Seeds: w.Seeds, Reachable: w.Routers.Reachable(), Elapsed: elapsed}
	allQueried := true
	for _, inst := range w.engines() {
		if w.Routers.CacheQueriedByOthers(inst.ID) || w.isQueried(inst.ID) {
			continue
		}
		allQueried = false
		if !warmup.Assigned(state, inst.ID) || !w.beginQuery(inst.ID, slots) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.query(ctx, inst)
			<-slots
		}()
	}
	return allQueried
}

// beginQuery reserves the query to an engine. It returns false if the query was started before or too many are open.
func (w *Warmup) beginQuery(id settings.UpstreamID, slots chan struct{}) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started[id] {
		return false
	}
	select {
	case slots <- struct{}{}:
	default:
		return false
	}
	if w.started == nil {
		w.started = make(map[settings.UpstreamID]bool)
	}
	w.started[id] = true
	return true
}

func (w *Warmup) isQueried(id settings.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.queried, id)
}

// waitForMembers waits until the declarations and the instances are known. It returns false if ctx ends before.
func (w *Warmup) waitForMembers(ctx context.Context) bool {
	for !w.Members.Complete() || w.Services() == nil {
		if !clock.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// engines returns the instances that may cache prompts. Those that are leaving are among them where several versions serve, since
// their caches tell which streams began there.
func (w *Warmup) engines() []members.Instance {
	var list []members.Instance
	for _, service := range w.Services() {
		list = append(list, w.enginesOf(service)...)
	}
	return list
}

func (w *Warmup) enginesOf(name settings.ServiceName) []members.Instance {
	serving, draining := w.Members.Serving(name), w.Members.Draining(name)
	if hasSeveralVersions(serving, draining) {
		return slices.Concat(serving, draining)
	}
	return serving
}

func hasSeveralVersions(lists ...[]members.Instance) bool {
	all := slices.Concat(lists...)
	return slices.ContainsFunc(all, func(i members.Instance) bool { return i.Version != all[0].Version })
}

// query reads the cache of one engine. An engine that does not respond counts as queried, since its entries are recorded
// when their prompts are used.
func (w *Warmup) query(ctx context.Context, inst members.Instance) {
	w.read(ctx, inst)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queried = append(w.queried, inst.ID)
	w.reportUntil = w.Clock.Now().Add(reportTime)
}

// read reads the cache of one engine, and reports whether that listed it.
func (w *Warmup) read(ctx context.Context, inst members.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	w.Scope.Counter("inventory_questions").Inc(1)
	blocks, err := w.Cache.CachedBlocks(ctx, inst)
	if err != nil {
		w.Log.Warn("cannot query the cache of an engine", "upstream", inst.ID, "error", err)
		if !errors.Is(ctx.Err(), context.Canceled) {
			w.Affinity.RecordFailedRead(w.Clock.Now(), inst)
		}
		return false
	}
	w.Affinity.RecordListing(w.Clock.Now(), blocks, inst)
	return true
}
