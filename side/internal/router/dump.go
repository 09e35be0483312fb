package router

import (
	"time"

	"rattantrack.dev/core/settings"
)

// Status is what the door shows of itself.
type Status struct {
	Upstream    settings.UpstreamID  `json:"upstream"`
	Service     settings.ServiceName `json:"service"`
	Revision    settings.Revision    `json:"revision"`
	Leaving     bool                 `json:"leaving"`
	Load        settings.Tokens      `json:"load_tokens"`
	Mean        settings.Tokens      `json:"mean_tokens"`
	MeanKnown   bool                 `json:"mean_known"`
	MeanAgeMS   int64                `json:"mean_age_ms"`
	Running     int                  `json:"running"`
	Queued      int                  `json:"queued"`
	Attempts    int                  `json:"attempts"`
	Keys        int                  `json:"keys"`
	KeyBytes    int                  `json:"key_bytes"`
	KeysCovered bool                 `json:"keys_covered"`
	Directory   int                  `json:"directory_chats"`
	Prefixes    int                  `json:"prefix_chats"`
}

// String returns the name under which the door is dumped.
func (d *Server) String() string { return "door" }

// Dump returns the door's state.
func (d *Server) Dump() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	m, known := d.admission.Estimator.Mean(now)
	s := Status{
		Upstream:    d.Self,
		Service:     d.name,
		Revision:    d.revision,
		Leaving:     d.isLeaving(now),
		Load:        d.admission.Load(),
		Mean:        m,
		MeanKnown:   known,
		Running:     d.scheduler.Running(),
		Queued:      d.scheduler.Queued(),
		Attempts:    d.attempts.Len(),
		Keys:        d.keys.Len(),
		KeyBytes:    d.keys.AnswerBytes(),
		KeysCovered: d.homes.Covered(now),
		Directory:   d.admission.CacheOwners.Len(),
		Prefixes:    d.admission.Prefixes.Len(),
	}
	if known {
		s.MeanAgeMS = int64(d.admission.Estimator.Age(now) / time.Millisecond)
	}
	return s
}
