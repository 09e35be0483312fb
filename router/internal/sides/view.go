package sides

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Times for which a router avoids a side.
const (
	// leavingTime is how long a side's own word that it leaves is believed.
	leavingTime = time.Minute
	// firstAvoidance and maxAvoidance bound how long an unreachable side is avoided, doubling each time.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 30 * time.Second
	// probation is how long a side must be reachable until its failures are forgotten.
	probation = time.Minute
)

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// avoidance is why and how long a side is not asked.
type avoidance struct {
	until    clock.Instant
	failures int
	last     clock.Instant
}

// View is what a router believes about sides: the declarations, the VM list, and its own experience.
type View struct {
	Clock Clock

	mu       sync.Mutex
	fleet    *settings.Declarations
	version  revision.Version
	leaving  map[string]bool
	avoided  map[settings.UpstreamID]avoidance
	routers  []string
	declared map[settings.ServiceName]*rendezvous.Set
	usable   map[settings.ServiceName]cachedSet
}

// cachedSet is a set of usable sides until the first avoidance ends.
type cachedSet struct {
	set   *rendezvous.Set
	until clock.Instant
}

// Declare puts an accepted version of the declarations in force.
func (v *View) Declare(c revision.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = c.Fleet
	v.version = c.Version
	if !c.UpstreamsChanged() {
		return
	}
	v.declared = make(map[settings.ServiceName]*rendezvous.Set)
	for name := range c.Fleet.Services {
		v.declared[name] = rendezvous.New(c.Fleet.UpstreamsOf(name))
	}
	v.usable = nil
}

// Listed takes in the VM list.
func (v *View) Listed(vms []configuration.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = make(map[string]bool)
	v.routers = nil
	for _, vm := range vms {
		if vm.State == configuration.VMLeaving {
			v.leaving[vm.Address] = true
			continue
		}
		if vm.Role == configuration.RoleRouter {
			v.routers = append(v.routers, vm.Address)
		}
	}
	v.usable = nil
}

// Routers returns the peer addresses of the live routers.
func (v *View) Routers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routers
}

// Fleet returns the declarations in force, nil while there are none.
func (v *View) Fleet() (*settings.Declarations, settings.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet, v.version.Revision
}

// Address returns the address of a declared side.
func (v *View) Address(id settings.UpstreamID) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fleet == nil {
		return "", false
	}
	u, ok := v.fleet.Upstreams[id]
	return u.Side, ok && !u.Destroyed
}

// Declared returns the declared sides of a service, whatever is believed of their state.
func (v *View) Declared(name settings.ServiceName) *rendezvous.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	if set := v.declared[name]; set != nil {
		return set
	}
	return &rendezvous.Set{}
}

// Usable returns the sides of a service that may get new work; if there seem to be none, all declared ones.
func (v *View) Usable(name settings.ServiceName) *rendezvous.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	if cached, ok := v.usable[name]; ok && now.Before(cached.until) {
		return cached.set
	}
	cached := v.compute(now, name)
	if v.usable == nil {
		v.usable = make(map[settings.ServiceName]cachedSet)
	}
	v.usable[name] = cached
	return cached.set
}

const cacheTime = time.Second

func (v *View) compute(now clock.Instant, name settings.ServiceName) cachedSet {
	declared := v.declared[name]
	if declared == nil {
		declared = &rendezvous.Set{}
	}
	cached := cachedSet{set: declared, until: now.Add(cacheTime)}
	var ids []settings.UpstreamID
	for _, id := range declared.IDs() {
		a := v.avoided[id]
		if now.Before(a.until) {
			cached.until = min(cached.until, a.until)
			continue
		}
		if !v.leaving[v.fleet.Upstreams[id].Side] {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		cached.set = rendezvous.New(ids)
	}
	return cached
}

// Left notes a side's own word that it takes no more work.
func (v *View) Left(id settings.UpstreamID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.avoided[id]
	a.until = v.Clock.Now().Add(leavingTime)
	v.avoid(id, a)
}

// Failed notes that a side could not be reached; a flapping side is avoided for longer each time.
func (v *View) Failed(id settings.UpstreamID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	a := v.avoided[id]
	if now.Sub(a.last) > probation {
		a.failures = 0
	}
	a.failures++
	a.last = now
	wait := min(maxAvoidance, firstAvoidance<<min(a.failures-1, maxDoublings))
	a.until = max(a.until, now.Add(wait))
	v.avoid(id, a)
}

// maxDoublings keeps the shift of firstAvoidance in range.
const maxDoublings = 10

func (v *View) avoid(id settings.UpstreamID, a avoidance) {
	if v.avoided == nil {
		v.avoided = make(map[settings.UpstreamID]avoidance)
	}
	v.avoided[id] = a
	v.usable = nil
}

// ViewStatus is what a view shows of itself.
type ViewStatus struct {
	Revision settings.Revision     `json:"revision"`
	Routers  int                   `json:"routers"`
	Leaving  []string              `json:"leaving"`
	Avoided  []settings.UpstreamID `json:"avoided"`
}

// String returns the name under which the view is dumped.
func (v *View) String() string { return "view" }

// Dump returns the view's state.
func (v *View) Dump() any {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ViewStatus{Revision: v.version.Revision, Routers: len(v.routers)}
	now := v.Clock.Now()
	for address := range v.leaving {
		s.Leaving = append(s.Leaving, address)
	}
	for id, a := range v.avoided {
		if now.Before(a.until) {
			s.Avoided = append(s.Avoided, id)
		}
	}
	return s
}
