package origin

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// MaxDirectoryAge is the age of the news from the directory from which on an instance may have joined and ended since. Entries of
// instances that have ended stay in the directory for longer.
const MaxDirectoryAge = 2500 * time.Millisecond

// Sharing tells the origins of which streams other routers have to hold, beside the router that began them; its zero value is none.
type Sharing struct {
	// Uncertain reports that no router may conclude that one version alone has served, now or once this router is lost.
	Uncertain bool
	// Mixed has the services that several versions have served lately.
	Mixed map[settings.ServiceName]bool
}

// Of reports whether the origins of a service's streams are shared.
func (s *Sharing) Of(name settings.ServiceName) bool { return s.Uncertain || s.Mixed[name] }

// Sharing returns which origins have to be shared. A router that does not know a stream places it by the only version that has served.
// It cannot while its history is incomplete, and a loss of routers makes the history incomplete while the directory is out of date.
func (h *History) Sharing(now clock.Instant, newsAge time.Duration) Sharing {
	s := Sharing{Uncertain: !h.Complete(now) || newsAge > MaxDirectoryAge, Mixed: make(map[settings.ServiceName]bool)}
	var last settings.ServiceName
	for _, v := range h.Seen(now, "") {
		if v.Service == last {
			s.Mixed[v.Service] = true
		}
		last = v.Service
	}
	return s
}
