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

// Durations of avoiding a side.
const (
	// leavingAvoidance is how long a side is avoided after it reported that it is leaving.
	leavingAvoidance = time.Minute
	// firstAvoidance and maxAvoidance bound how long a failed side is avoided. The duration doubles with each failure.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 30 * time.Second
	// failureMemory is how long after a side's last failure its failure count starts again at zero.
	failureMemory = time.Minute
)

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// avoidance is the time until which a side gets no calls, and its recent failures.
type avoidance struct {
	until       clock.Instant
	failures    int
	lastFailure clock.Instant
}

// View is one router's view of the sides, from the declarations, the VM list and the failures that it saw itself.
type View struct {
	Clock Clock

	mu           sync.Mutex
	declarations *settings.Declarations
	version      revision.Version
	// leaving holds the peer addresses that the VM list shows as leaving, routers those of the routers that are not leaving.
	leaving map[string]bool
	avoided map[settings.UpstreamID]avoidance
	routers []string
	// declared and usable hold the sets that Declared and Usable return.
	declared map[settings.ServiceName]*rendezvous.Set
	usable   map[settings.ServiceName]cachedSet
}

// cachedSet is a set of usable sides, valid until the given time.
type cachedSet struct {
	sides *rendezvous.Set
	until clock.Instant
}

// ApplyDeclarations replaces the declarations in force by an accepted version.
func (v *View) ApplyDeclarations(c revision.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.declarations = c.Declarations
	v.version = c.Version
	if !c.UpstreamsChanged() {
		return
	}
	v.declared = make(map[settings.ServiceName]*rendezvous.Set)
	for name := range c.Declarations.Services {
		v.declared[name] = rendezvous.New(c.Declarations.UpstreamsOf(name))
	}
	v.usable = nil
}

// SetVMs replaces the VM list.
func (v *View) SetVMs(vms []configuration.VM) {
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

// Routers returns the peer addresses of the routers that the VM list doesn't show as leaving.
func (v *View) Routers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routers
}

// Declarations returns the declarations in force and their revision, nil and 0 while there are none.
func (v *View) Declarations() (*settings.Declarations, settings.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.declarations, v.version.Revision
}

// Address returns the peer address of a declared side; it returns false if the side is unknown or destroyed.
func (v *View) Address(id settings.UpstreamID) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.declarations == nil {
		return "", false
	}
	u, ok := v.declarations.Upstreams[id]
	return u.Side, ok && !u.Destroyed
}

// Declared returns the declared sides of a service except destroyed ones. Avoided and leaving sides are included.
func (v *View) Declared(name settings.ServiceName) *rendezvous.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	if set := v.declared[name]; set != nil {
		return set
	}
	return &rendezvous.Set{}
}

// Usable returns the declared sides of a service that are neither avoided nor leaving, or all of them if none is left.
func (v *View) Usable(name settings.ServiceName) *rendezvous.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	if cached, ok := v.usable[name]; ok && now.Before(cached.until) {
		return cached.sides
	}
	cached := v.computeUsable(now, name)
	if v.usable == nil {
		v.usable = make(map[settings.ServiceName]cachedSet)
	}
	v.usable[name] = cached
	return cached.sides
}

// usableCacheTime bounds how long a set of usable sides is reused.
const usableCacheTime = time.Second

// computeUsable returns the usable sides of a service; the caller holds the lock.
func (v *View) computeUsable(now clock.Instant, name settings.ServiceName) cachedSet {
	declared := v.declared[name]
	if declared == nil {
		declared = &rendezvous.Set{}
	}
	cached := cachedSet{sides: declared, until: now.Add(usableCacheTime)}
	var ids []settings.UpstreamID
	for _, id := range declared.IDs() {
		a := v.avoided[id]
		if now.Before(a.until) {
			cached.until = min(cached.until, a.until)
			continue
		}
		if !v.leaving[v.declarations.Upstreams[id].Side] {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		cached.sides = rendezvous.New(ids)
	}
	return cached
}

// RecordLeaving records that a side reported that it is leaving.
func (v *View) RecordLeaving(id settings.UpstreamID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.avoided[id]
	a.until = v.Clock.Now().Add(leavingAvoidance)
	v.avoid(id, a)
}

// RecordFailure records that a side or its upstream could not be reached. A side that fails repeatedly is avoided longer
// each time.
func (v *View) RecordFailure(id settings.UpstreamID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	a := v.avoided[id]
	if now.Sub(a.lastFailure) > failureMemory {
		a.failures = 0
	}
	a.failures++
	a.lastFailure = now
	wait := min(maxAvoidance, firstAvoidance<<min(a.failures-1, maxDoublings))
	a.until = max(a.until, now.Add(wait))
	v.avoid(id, a)
}

// maxDoublings keeps the shift of firstAvoidance from overflowing.
const maxDoublings = 10

// avoid stores a side's avoidance and discards the cached sets; the caller holds the lock.
func (v *View) avoid(id settings.UpstreamID, a avoidance) {
	if v.avoided == nil {
		v.avoided = make(map[settings.UpstreamID]avoidance)
	}
	v.avoided[id] = a
	v.usable = nil
}

// ViewStatus is the state of a view in dumps.
type ViewStatus struct {
	Revision settings.Revision     `json:"revision"`
	Routers  int                   `json:"routers"`
	Leaving  []string              `json:"leaving"`
	Avoided  []settings.UpstreamID `json:"avoided"`
}

// String returns the name of the view in dumps.
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
