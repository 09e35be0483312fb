package engines

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/rank"
	"rattantrack.dev/core/settings"
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
	// pollTime is how often the router looks whether it knows the instances.
	pollTime = 20 * time.Millisecond
)

// maxAsking bounds the questions that are open at one time.
const maxAsking = 8

// Asker asks an engine which parts of prompts it keeps.
type Asker interface {
	Held(ctx context.Context, i members.Instance) ([]call.Part, error)
}

// Routers knows the other routers.
type Routers interface {
	Met() []string
	// MetWarm reports whether one of them has told what it knows of cached prompts.
	MetWarm() bool
	// InventoriedByOthers reports whether one of them has asked an engine already.
	InventoriedByOthers(id settings.UpstreamID) bool
}

// Inventory recovers the directory of cached prompts after all routers have restarted at once. Each engine is asked by
// one router, the first in the rendezvous order of the engine, which tells the others.
type Inventory struct {
	// Address is where this router is reached.
	Address string
	// FirstStart says that the whole system starts for the first time, with empty caches.
	FirstStart bool
	Asker      Asker
	Routers    Routers
	Members    *members.Book
	// Services returns the services whose upstreams cache prompts, nil while they are not known.
	Services func() []settings.ServiceName
	Affinity *affinity.Directory
	Clock    interface{ Now() clock.Instant }
	Log      *log.Logger
	Scope    tally.Scope

	warm    atomic.Bool
	warmed  chan struct{}
	prepare sync.Once
	finish  sync.Once

	mu    sync.Mutex
	asked []settings.UpstreamID
	until clock.Instant
}

// Asked returns the engines that this router has just asked, for the others.
func (v *Inventory) Asked() []settings.UpstreamID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.asked) == 0 || v.until < v.Clock.Now() {
		return nil
	}
	return slices.Clone(v.asked)
}

// done is closed when the router may take requests.
func (v *Inventory) done() chan struct{} {
	v.prepare.Do(func() { v.warmed = make(chan struct{}) })
	return v.warmed
}

func (v *Inventory) setWarm() {
	v.finish.Do(func() {
		v.warm.Store(true)
		close(v.done())
	})
}

// Wait waits until the cached prompts are known, ctx ends or the time is up.
func (v *Inventory) Wait(ctx context.Context, limit time.Duration) {
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
func (v *Inventory) String() string { return "inventory" }

// Warm reports whether the router may take requests.
func (v *Inventory) Warm() bool { return v.warm.Load() }

// Run makes one inventory and waits for ctx.
func (v *Inventory) Run(ctx context.Context, ready func()) error {
	ready()
	v.once(ctx)
	v.setWarm()
	<-ctx.Done()
	return nil
}

func (v *Inventory) once(ctx context.Context) {
	if v.FirstStart || !v.known(ctx) {
		return
	}
	// A router that still remembers tells it at the first exchange.
	for begun := v.Clock.Now(); !v.Routers.MetWarm(); {
		if v.Clock.Now().Sub(begun) >= meetTime {
			v.ask(ctx)
			return
		}
		if !sleep(ctx, pollTime) {
			return
		}
	}
}

// ask asks the engines that are this router's share.
func (v *Inventory) ask(ctx context.Context) {
	timer := time.AfterFunc(warmTime, v.setWarm)
	defer timer.Stop()
	asking := make(chan struct{}, maxAsking)
	var wg sync.WaitGroup
	asked := 0
	for _, i := range v.engines() {
		asking <- struct{}{}
		// The other routers appear one by one, so the share of this one shrinks while it asks.
		if !v.mine(i) {
			<-asking
			continue
		}
		asked++
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.askOne(ctx, i)
			<-asking
		}()
	}
	wg.Wait()
	v.Log.Info("inventory made", "engines", asked, "parts", v.Affinity.Size())
}

// known waits until declarations and instances are there.
func (v *Inventory) known(ctx context.Context) bool {
	for !v.Members.Known() || v.Services() == nil {
		if !sleep(ctx, pollTime) {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// engines returns the instances that may cache prompts, in an order of this router's own.
func (v *Inventory) engines() []members.Instance {
	var list []members.Instance
	for _, service := range v.Services() {
		list = append(list, v.Members.Serving(service)...)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// mine reports whether it falls to this router to ask an engine.
func (v *Inventory) mine(i members.Instance) bool {
	if v.Routers.InventoriedByOthers(i.ID) {
		return false
	}
	routers := []settings.UpstreamID{settings.UpstreamID(v.Address)}
	for _, address := range v.Routers.Met() {
		routers = append(routers, settings.UpstreamID(address))
	}
	owner, ok := rank.New(routers).Home(xxhash.Sum64String(string(i.ID)))
	return ok && string(owner) == v.Address
}

func (v *Inventory) askOne(ctx context.Context, i members.Instance) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	v.Scope.Counter("inventory_questions").Inc(1)
	parts, err := v.Asker.Held(ctx, i)
	if err != nil {
		v.Log.Warn("engine not in the inventory", "upstream", i.ID, "error", err)
		return
	}
	now := v.Clock.Now()
	v.Affinity.Used(now, parts, i.ID)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked = append(v.asked, i.ID)
	v.until = now.Add(tellTime)
}
