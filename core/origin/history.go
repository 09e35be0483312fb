package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Seen is a version of a service that has served within KeepTime.
type Seen struct {
	Service settings.ServiceName
	Version members.Version
	// Age is the time since the last instance of the version was listed, 0 while one is.
	Age time.Duration
}

// listed is what a History needs of an instance.
type listed struct {
	origin      Origin
	incarnation members.Incarnation
}

// History remembers which versions of each service have served within KeepTime; its zero value is ready to use.
type History struct {
	mu        sync.Mutex
	instances map[settings.UpstreamID]listed
	count     map[Origin]int
	// left holds when the last instance of a version was removed.
	left map[Origin]clock.Instant
	// completeAt is when the history reaches back KeepTime, 0 if that is not known.
	completeAt clock.Instant
	// fleetStart is when the router started together with the whole fleet for the first time, 0 if it did not.
	fleetStart clock.Instant
}

// Start begins the history of a router. first reports that the fleet starts for the first time, so that nothing was before.
func (h *History) Start(now clock.Instant, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeAt = now.Add(KeepTime)
	if first {
		h.completeAt, h.fleetStart = now, now
	}
}

// NewsAge returns how long instances may have come and gone since the directory was last read, directoryAge ago. A fleet that starts for
// the first time has missed nothing before its start, although it has not read the directory yet.
func (h *History) NewsAge(now clock.Instant, directoryAge time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleetStart == 0 {
		return directoryAge
	}
	return min(directoryAge, now.Sub(h.fleetStart))
}

// Interrupt records that versions may have come and gone unnoticed.
func (h *History) Interrupt(now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeAt = now.Add(KeepTime)
}

// Complete reports whether the history has all versions of the last KeepTime.
func (h *History) Complete(now clock.Instant) bool {
	missing, started := h.Missing(now)
	return started && missing == 0
}

// Missing returns how much of KeepTime the history does not reach back yet, false if it has not started.
func (h *History) Missing(now clock.Instant) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.completeAt.Sub(now)), h.completeAt != 0
}

// Apply applies changes of instances.
func (h *History) Apply(now clock.Instant, events []members.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.instances == nil {
		h.instances = make(map[settings.UpstreamID]listed)
		h.count = make(map[Origin]int)
		h.left = make(map[Origin]clock.Instant)
	}
	for _, e := range events {
		was, ok := h.instances[e.ID]
		if ok && e.Kind == members.EventMissing {
			continue
		}
		if ok {
			delete(h.instances, e.ID)
			if h.count[was.origin]--; h.count[was.origin] == 0 {
				delete(h.count, was.origin)
				h.left[was.origin] = now
			}
		}
		if e.Kind == members.EventRemoved {
			continue
		}
		is := listed{origin: Origin{Service: e.Instance.Service, Version: e.Instance.Version}, incarnation: e.Instance.Incarnation}
		h.instances[e.ID] = is
		h.count[is.origin]++
	}
	h.expire(now)
}

// expire forgets the versions that left long ago. h.mu is held.
func (h *History) expire(now clock.Instant) {
	for o, at := range h.left {
		if now.Sub(at) > KeepTime {
			delete(h.left, o)
		}
	}
}

// Merge adds what another router has seen. complete reports that its history is complete, which makes this one complete.
func (h *History) Merge(now clock.Instant, seen []Seen, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left == nil {
		h.left = make(map[Origin]clock.Instant)
	}
	for _, s := range seen {
		o := Origin{Service: s.Service, Version: s.Version}
		h.left[o] = max(h.left[o], now.Add(-max(0, s.Age)))
	}
	if complete {
		h.completeAt = min(h.completeAt, now)
	}
	h.expire(now)
}

// Seen returns the versions of a service, or of all services if name is empty, sorted.
func (h *History) Seen(now clock.Instant, name settings.ServiceName) []Seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var list []Seen
	for o := range h.count {
		if name == "" || o.Service == name {
			list = append(list, Seen{Service: o.Service, Version: o.Version})
		}
	}
	for o, at := range h.left {
		if h.count[o] == 0 && (name == "" || o.Service == name) {
			list = append(list, Seen{Service: o.Service, Version: o.Version, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(list, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return list
}

// Mixed reports whether more than one version of a service has served lately.
func (h *History) Mixed(now clock.Instant, name settings.ServiceName) bool {
	return len(h.Seen(now, name)) > 1
}

// Process identifies a process of an instance, and what would begin there.
type Process struct {
	ID          settings.UpstreamID
	Incarnation members.Incarnation
	Origin      Origin
}

// Processes returns the listed instances of a service, those that are leaving too.
func (h *History) Processes(name settings.ServiceName) []Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Process
	for id, l := range h.instances {
		if l.origin.Service == name {
			list = append(list, Process{ID: id, Incarnation: l.incarnation, Origin: l.origin})
		}
	}
	return list
}
