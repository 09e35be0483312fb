package router

import (
	"time"

	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/settings"
)

// Status is the server's state in the operator's dump.
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
	// Memory is what submissions hold.
	Memory memorybudget.Status `json:"request_memory"`
}

// String returns the name of the server in dumps and logs.
func (s *Server) String() string { return "door" }

// Dump returns the server's state.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	mean, known := s.admission.Estimator.Mean(now)
	status := Status{
		Upstream:    s.Self,
		Service:     s.serviceName,
		Revision:    s.revision,
		Leaving:     s.isLeaving(now),
		Load:        s.admission.Load(),
		Mean:        mean,
		MeanKnown:   known,
		Running:     s.scheduler.Running(),
		Queued:      s.scheduler.Queued(),
		Attempts:    s.attempts.Len(),
		Keys:        s.keys.Len(),
		KeyBytes:    s.keys.AnswerBytes(),
		KeysCovered: s.primaries.Covered(now),
		Directory:   s.admission.CacheOwners.Len(),
		Prefixes:    s.admission.Prefixes.Len(),
		Memory:      s.Memory.Status(),
	}
	if known {
		status.MeanAgeMS = int64(s.admission.Estimator.Age(now) / time.Millisecond)
	}
	return status
}
