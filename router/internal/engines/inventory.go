package engines

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/warmup"
)

// Times of the inventory.
const (
	// meetTime is how long a router that starts waits for others that may remember the prompts.
	meetTime = 100 * time.Millisecond
	// askTime bounds the question to one engine, and warmTime how long requests wait for the whole inventory.
	askTime  = 400 * time.Millisecond
	warmTime = 500 * time.Millisecond
	// tellTime is how long the other routers are told which engines were asked: as long as a fleet takes to start.
	tellTime = 5 * time.Second
	// recoverTime is how long a router looks for cached prompts after its start; what is not known by then is learnt as
	// it is used.
	recoverTime = 3 * time.Second
	// pollTime is how often the router looks what it has learnt.
	pollTime = 20 * time.Millisecond
)

// maxAsking bounds the questions that are open at one time.
const maxAsking = 8

// CacheReader asks an engine which parts of prompts it keeps.
type CacheReader interface {
	CachedBlocks(ctx context.Context, i members.Instance) ([]call.PromptBlock, error)
}

// Routers knows the other routers.
type Routers interface {
	Reachable() []string
	// CacheEntriesReceived reports whether one of them has told all that it knows of cached prompts.
	CacheEntriesReceived() bool
	// CacheQueriedByOthers reports whether one of them has asked an engine already.
	CacheQueriedByOthers(id settings.UpstreamID) bool
}

// Warmup recovers the directory of cached prompts after all routers have restarted at once. Each engine is asked by
// one router, which tells the others.
type Warmup struct {
	// Address is where this router is reached, Named the routers that the settings name.
	Address string
	Seeds   []string
	// FirstStart says that the whole system starts for the first time, with empty caches.
	FirstStart bool
	Cache      CacheReader
	Routers    Routers
	Members    *members.Registry
	// Services returns the services whose upstreams cache prompts, nil while they are not known.
	Services func() []settings.ServiceName
	Affinity *affinity.Index
	Clock    interface{ Now() clock.Instant }
	Log      *log.Logger
	Scope    tally.Scope

	warm     atomic.Bool
	complete atomic.Bool
	warmed   chan struct{}
	prepare  sync.Once
	finish   sync.Once

	mu sync.Mutex
	// begun are the engines that this router has begun to ask, asked those whose answer or failure it has.
	begun map[settings.UpstreamID]bool
	asked []settings.UpstreamID
	until clock.Instant
}

// Queried returns the engines that this router has just asked, for the others.
func (v *Warmup) Queried() []settings.UpstreamID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.asked) == 0 || v.until < v.Clock.Now() {
		return nil
	}
	return slices.Clone(v.asked)
}

// done is closed when the router may take requests.
func (v *Warmup) done() chan struct{} {
	v.prepare.Do(func() { v.warmed = make(chan struct{}) })
	return v.warmed
}

func (v *Warmup) setWarm() {
	v.finish.Do(func() {
		v.warm.Store(true)
		close(v.done())
	})
}

// Wait waits until the cached prompts are known, ctx ends or the time is up.
func (v *Warmup) Wait(ctx context.Context, limit time.Duration) {
	if v.warm.Load() {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String returns the service's name.
func (v *Warmup) String() string { return "inventory" }

// Warm reports whether the router may take requests.
func (v *Warmup) Warm() bool { return v.warm.Load() }

// Complete reports whether the router knows the cached prompts well enough to tell them to one that starts.
func (v *Warmup) Complete() bool { return v.complete.Load() }

// Run makes one inventory and waits for ctx.
func (v *Warmup) Run(ctx context.Context, ready func()) error {
	ready()
	if !v.FirstStart && v.known(ctx) {
		v.recover(ctx)
	}
	v.complete.Store(true)
	v.setWarm()
	<-ctx.Done()
	return nil
}

// recover learns the cached prompts from a router that remembers them, or from the engines.
func (v *Warmup) recover(ctx context.Context) {
	timer := time.AfterFunc(warmTime, v.setWarm)
	defer timer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	asking := make(chan struct{}, maxAsking)
	begun := v.Clock.Now()
	for {
		elapsed := v.Clock.Now().Sub(begun)
		switch {
		case v.Routers.CacheEntriesReceived():
			v.Log.Info("cached prompts learnt from a router", "parts", v.Affinity.Size(), "after_ms", elapsed.Milliseconds())
			return
		case elapsed >= recoverTime, elapsed >= meetTime && v.ask(ctx, elapsed, asking, &wg):
			v.Log.Info("inventory made", "engines", len(v.Queried()), "parts", v.Affinity.Size(), "after_ms", elapsed.Milliseconds())
			return
		}
		if !clock.Sleep(ctx, pollTime) {
			return
		}
	}
}

// ask begins to ask the engines that fall to this router, and reports whether all engines have been asked by somebody.
func (v *Warmup) ask(ctx context.Context, elapsed time.Duration, asking chan struct{}, wg *sync.WaitGroup) bool {
	state := warmup.State{Self: v.Address, Seeds: v.Seeds, Reachable: v.Routers.Reachable(), Elapsed: elapsed}
	all := true
	for _, i := range v.engines() {
		if v.Routers.CacheQueriedByOthers(i.ID) || v.answered(i.ID) {
			continue
		}
		all = false
		if !warmup.Assigned(state, i.ID) || !v.begin(i.ID, asking) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.askOne(ctx, i)
			<-asking
		}()
	}
	return all
}

// begin reports whether the question to an engine is still to be asked and there is room for one more.
func (v *Warmup) begin(id settings.UpstreamID, asking chan struct{}) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.begun[id] {
		return false
	}
	select {
	case asking <- struct{}{}:
	default:
		return false
	}
	if v.begun == nil {
		v.begun = make(map[settings.UpstreamID]bool)
	}
	v.begun[id] = true
	return true
}

func (v *Warmup) answered(id settings.UpstreamID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Contains(v.asked, id)
}

// known waits until declarations and instances are there.
func (v *Warmup) known(ctx context.Context) bool {
	for !v.Members.Complete() || v.Services() == nil {
		if !clock.Sleep(ctx, pollTime) {
			return false
		}
	}
	return true
}

// engines returns the instances that may cache prompts.
func (v *Warmup) engines() []members.Instance {
	var list []members.Instance
	for _, service := range v.Services() {
		list = append(list, v.Members.Serving(service)...)
	}
	return list
}

// askOne asks one engine; one that does not answer counts as asked, since its prompts are learnt as they are used.
func (v *Warmup) askOne(ctx context.Context, i members.Instance) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	v.Scope.Counter("inventory_questions").Inc(1)
	parts, err := v.Cache.CachedBlocks(ctx, i)
	now := v.Clock.Now()
	if err != nil {
		v.Log.Warn("engine not in the inventory", "upstream", i.ID, "error", err)
	} else {
		v.Affinity.RecordUse(now, parts, i.ID)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked = append(v.asked, i.ID)
	v.until = now.Add(tellTime)
}
