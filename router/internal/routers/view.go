package routers

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/settings"
)

// Known returns the addresses of the other routers.
func (s *Service) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address := range s.routers {
		if address != s.Address {
			list = append(list, address)
		}
	}
	return list
}

// Reachable returns the addresses of the other routers that answered last.
func (s *Service) Reachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address, r := range s.routers {
		if address != s.Address && r.alive() {
			list = append(list, address)
		}
	}
	return list
}

// CacheQueriedByOthers reports whether another router has asked for the cached prompts of an upstream.
func (s *Service) CacheQueriedByOthers(id settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventoried[id]
}

// Pollers returns the other routers that answered last and can read the directory.
func (s *Service) Pollers() []polling.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []polling.Candidate
	for address, r := range s.routers {
		if address != s.Address && r.alive() && !r.failing {
			list = append(list, polling.Candidate{Address: address, Cores: r.cores})
		}
	}
	return list
}

// LastDirectoryRead returns when, at the latest, another router has read the directory and told it here.
func (s *Service) LastDirectoryRead() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest clock.Instant
	for _, r := range s.routers {
		latest = max(latest, r.informed)
	}
	return latest
}

// CacheEntriesReceived reports whether a router that knows the cached prompts has told them all.
func (s *Service) CacheEntriesReceived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnt
}

// Status is what the service shows of one router.
type Status struct {
	Address string `json:"address"`
	Lost    bool   `json:"lost"`
	MetMS   int64  `json:"met_ms_ago"`
	Pending int    `json:"pending_news"`
}

// Dump returns the other routers.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var list []Status
	for address, r := range s.routers {
		list = append(list, Status{
			Address: address, Lost: r.lost, MetMS: now.Sub(r.met).Milliseconds(), Pending: len(r.holdings) + len(r.members),
		})
	}
	return list
}
