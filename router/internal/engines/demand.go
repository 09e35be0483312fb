package engines

import (
	"context"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/warmup"
)

// Times of reads on demand.
const (
	// demandTime is how long a demand lasts.
	demandTime = 2 * time.Second
	// rereadTime is the time within which a process is read at most once on demand, also if it did not respond.
	rereadTime = 15 * time.Second
)

// process identifies a process of an engine.
type process struct {
	id          settings.UpstreamID
	incarnation members.Incarnation
}

// demands holds the services whose caches are to be read; its zero value is ready to use.
type demands struct {
	mu    sync.Mutex
	since map[settings.ServiceName]clock.Instant
	// readAt is when each process was last read on demand.
	readAt map[process]clock.Instant
	wake   chan struct{}
}

func (d *demands) channel() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wake == nil {
		d.wake = make(chan struct{}, 1)
	}
	return d.wake
}

// add adds a service and reports whether it was not demanded yet.
func (d *demands) add(now clock.Instant, name settings.ServiceName) bool {
	wake := d.channel()
	d.mu.Lock()
	defer d.mu.Unlock()
	if since, ok := d.since[name]; ok && now.Sub(since) < demandTime {
		return false
	}
	if d.since == nil {
		d.since = make(map[settings.ServiceName]clock.Instant)
	}
	d.since[name] = now
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// active returns the services with a demand and since when.
func (d *demands) active(now clock.Instant) map[settings.ServiceName]clock.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[settings.ServiceName]clock.Instant)
	for name, since := range d.since {
		if now.Sub(since) >= demandTime {
			delete(d.since, name)
			continue
		}
		list[name] = since
	}
	return list
}

// begin reserves the read of a process. It returns false if the process was read within rereadTime.
func (d *demands) begin(now clock.Instant, p process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.readAt {
		if now.Sub(at) >= rereadTime {
			delete(d.readAt, other)
		}
	}
	if _, ok := d.readAt[p]; ok {
		return false
	}
	if d.readAt == nil {
		d.readAt = make(map[process]clock.Instant)
	}
	d.readAt[p] = now
	return true
}

// Demand asks for the caches of a service's engines, because streams have come that nobody can place. Most routers were lost, and the
// others have passed on where prompts are cached, without what the engines have listed.
func (w *Warmup) Demand(name settings.ServiceName) {
	if w.demand.add(w.Clock.Now(), name) {
		w.Log.Info("caches demanded", "service", name)
	}
}

// round is a part of a demand: at first the engines that are assigned to this router, after warmup.TakeoverDelay all that are left.
type round struct {
	since    clock.Instant
	takeover bool
	pending  []members.Instance
}

// serveDemands reads caches on demand until ctx ends. The routers that get such streams divide the engines among them.
func (w *Warmup) serveDemands(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOpenQueries)
	rounds := make(map[settings.ServiceName]*round)
	for {
		if len(w.demand.active(w.Clock.Now())) == 0 {
			select {
			case <-w.demand.channel():
			case <-ctx.Done():
				return
			}
		}
		for name, since := range w.demand.active(w.Clock.Now()) {
			rounds[name] = w.nextRound(rounds[name], name, since)
			w.readPending(ctx, rounds[name], slots, &wg)
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// nextRound returns the round of a demand, which is r unless a new one begins.
func (w *Warmup) nextRound(r *round, name settings.ServiceName, since clock.Instant) *round {
	now := w.Clock.Now()
	takeover := now.Sub(since) >= warmup.TakeoverDelay
	if r != nil && r.since == since && r.takeover == takeover {
		return r
	}
	r = &round{since: since, takeover: takeover}
	if !slices.Contains(w.Services(), name) {
		return r
	}
	assigned := warmup.AssignedOnDemand(warmup.State{Self: w.Address, Reachable: w.Routers.Reachable(), Elapsed: now.Sub(since)})
	for _, inst := range w.enginesOf(name) {
		if assigned(inst.ID) {
			r.pending = append(r.pending, inst)
		}
	}
	return r
}

// readPending starts as many reads of a round as may be open.
func (w *Warmup) readPending(ctx context.Context, r *round, slots chan struct{}, wg *sync.WaitGroup) {
	for len(r.pending) > 0 {
		inst := r.pending[0]
		if w.Affinity.WasRead(w.Clock.Now(), inst.ID, inst.Incarnation) {
			r.pending = r.pending[1:]
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		r.pending = r.pending[1:]
		if !w.demand.begin(w.Clock.Now(), process{inst.ID, inst.Incarnation}) {
			<-slots
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.read(ctx, inst)
			<-slots
		}()
	}
}
