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
	// rereadTime is the time within which a process is read at most once on demand, retryTime that after a read that failed. After a loss
	// of routers it is read once more.
	rereadTime = 15 * time.Second
	retryTime  = 3 * time.Second
)

// process identifies a process of an engine.
type process struct {
	id          settings.UpstreamID
	incarnation members.Incarnation
}

// reading is a read of a process on demand, which is not repeated for the same loss before until.
type reading struct {
	at, until clock.Instant
}

// demand asks for the lists of a service's engines.
type demand struct {
	// since is when the demand came. Lists that were read at the time after, or before, do not meet it.
	since, after clock.Instant
}

// demands holds the services whose caches are to be read; its zero value is ready to use.
type demands struct {
	mu       sync.Mutex
	services map[settings.ServiceName]demand
	// readings holds the latest read of each process.
	readings map[process]reading
	wake     chan struct{}
}

func (d *demands) channel() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wake == nil {
		d.wake = make(chan struct{}, 1)
	}
	return d.wake
}

// add adds a demand and reports whether there was none yet that asks for the same.
func (d *demands) add(now clock.Instant, name settings.ServiceName, after clock.Instant) bool {
	wake := d.channel()
	d.mu.Lock()
	defer d.mu.Unlock()
	if dem, ok := d.services[name]; ok && now.Sub(dem.since) < demandTime && after <= dem.after {
		return false
	}
	if d.services == nil {
		d.services = make(map[settings.ServiceName]demand)
	}
	d.services[name] = demand{since: now, after: after}
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// active returns the services with a demand.
func (d *demands) active(now clock.Instant) map[settings.ServiceName]demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[settings.ServiceName]demand)
	for name, dem := range d.services {
		if now.Sub(dem.since) >= demandTime {
			delete(d.services, name)
			continue
		}
		list[name] = dem
	}
	return list
}

// begin reserves the read of a process. It returns false if the process was read after the given time and is not to be read again yet.
func (d *demands) begin(now clock.Instant, p process, after clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, r := range d.readings {
		if now >= r.until {
			delete(d.readings, other)
		}
	}
	if r, ok := d.readings[p]; ok && r.at > after {
		return false
	}
	if d.readings == nil {
		d.readings = make(map[process]reading)
	}
	d.readings[p] = reading{at: now, until: now.Add(rereadTime)}
	return true
}

// failed lets a process be read again soon.
func (d *demands) failed(now clock.Instant, p process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.readings[p]; ok {
		d.readings[p] = reading{at: r.at, until: now.Add(retryTime)}
	}
}

// Demand asks for lists of the caches of a service's engines that are read after a time, because streams have come that nobody can place.
// Most routers were lost, and the others have passed on where prompts are cached, without what the engines have listed since.
func (w *Warmup) Demand(name settings.ServiceName, after clock.Instant) {
	if now := w.Clock.Now(); w.demand.add(now, name, after) {
		w.Log.Info("caches demanded", "service", name, "lists_since_ms", now.Sub(after).Milliseconds())
	}
}

// round is a part of a demand: at first the engines that are assigned to this router, after warmup.TakeoverDelay all that are left.
type round struct {
	demand
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
		for name, dem := range w.demand.active(w.Clock.Now()) {
			rounds[name] = w.nextRound(rounds[name], name, dem)
			w.readPending(ctx, rounds[name], slots, &wg)
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// nextRound returns the round of a demand, which is r unless a new one begins.
func (w *Warmup) nextRound(r *round, name settings.ServiceName, dem demand) *round {
	now := w.Clock.Now()
	takeover := now.Sub(dem.since) >= warmup.TakeoverDelay
	if r != nil && r.demand == dem && r.takeover == takeover {
		return r
	}
	r = &round{demand: dem, takeover: takeover}
	if !slices.Contains(w.Services(), name) {
		return r
	}
	assigned := warmup.AssignedOnDemand(warmup.State{Self: w.Address, Reachable: w.Routers.Reachable(), Elapsed: now.Sub(dem.since)})
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
		now := w.Clock.Now()
		if age, ok := w.Affinity.ReadAge(now, inst.ID, inst.Incarnation); ok && now.Add(-age) > r.after {
			r.pending = r.pending[1:]
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		r.pending = r.pending[1:]
		p := process{inst.ID, inst.Incarnation}
		if !w.demand.begin(now, p, r.after) {
			<-slots
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !w.read(ctx, inst) {
				w.demand.failed(w.Clock.Now(), p)
			}
			<-slots
		}()
	}
}
