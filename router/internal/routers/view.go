package routers

import (
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/crashes"
	"rattantrack.dev/router/internal/origins"
)

// Addresses returns the addresses of the other routers.
func (s *Service) Addresses() []string {
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

// Reachable returns the addresses of the reachable routers.
func (s *Service) Reachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address, r := range s.routers {
		if address != s.Address && r.reachable() {
			list = append(list, address)
		}
	}
	return list
}

// CacheQueriedByOthers reports whether another router has queried the cache of an upstream.
func (s *Service) CacheQueriedByOthers(id settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queriedByOthers[id]
}

// Pollers returns the reachable routers that can read the directory.
func (s *Service) Pollers() []polling.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []polling.Candidate
	for address, r := range s.routers {
		if address != s.Address && r.reachable() && !r.directoryFailing {
			list = append(list, polling.Candidate{Address: address, Cores: r.cores})
		}
	}
	return list
}

// Relays returns the reachable routers that can relay counts, and whether the fleet is so large that the exchange of states is
// slower than the given interval.
func (s *Service) Relays(interval time.Duration) (list []relay.Router, slow bool) {
	complete := s.Members.Complete()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tree.large && (!complete || s.Clock.Now().Sub(s.started) < joinTime) {
		// Counts for other lists of upstreams carry all their names, and those of a fleet that starts would fill the links of the relays.
		return nil, false
	}
	for address, r := range s.routers {
		if address != s.Address && r.reachable() && r.version >= peer.LoadReportVersion {
			list = append(list, relay.Router{Address: address, DataCentre: r.dataCentre, Cores: r.cores})
		}
	}
	return list, s.interval() > interval
}

// CrashRouters returns the reachable routers that exchange crashes of upstreams.
func (s *Service) CrashRouters() []crashes.Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []crashes.Router
	for address, r := range s.routers {
		if address != s.Address && r.reachable() && r.version >= peer.CrashEvidenceVersion {
			list = append(list, crashes.Router{Address: address, Incarnation: r.incarnation})
		}
	}
	return list
}

// OriginRouters returns the reachable routers that hold the origins of streams.
func (s *Service) OriginRouters() []origins.Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []origins.Router
	for address, r := range s.routers {
		if address != s.Address && r.reachable() && r.version >= peer.StreamOriginsVersion {
			list = append(list, origins.Router{Address: address, Incarnation: r.incarnation})
		}
	}
	return list
}

// Known returns the number of routers that may be running, with this one: the reachable ones and, for forgetTime, those that were lost
// or of which this router has only heard.
func (s *Service) Known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	n := 1
	for address, r := range s.routers {
		if address != s.Address && r.known(now) {
			n++
		}
	}
	return n
}

// KnownAddresses returns the addresses of the other routers that Known counts. alone reports that the settings name others, none of which
// this router has met since its start.
func (s *Service) KnownAddresses() (others []string, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	alone = slices.ContainsFunc(s.Seeds, func(address string) bool { return address != s.Address })
	for address, r := range s.routers {
		if address == s.Address {
			continue
		}
		alone = alone && r.lastExchange == 0
		if r.known(now) {
			others = append(others, address)
		}
	}
	return others, alone
}

// InTouchSince reports whether no router that this one knows has been out of reach since the given time.
func (s *Service) InTouchSince(t clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgottenLostAt > t {
		return false
	}
	now := s.Clock.Now()
	for address, r := range s.routers {
		if address != s.Address && (r.lostAt > t || r.known(now) && !r.reachable()) {
			return false
		}
	}
	return true
}

// LastLoss returns when this router last noticed that another one was lost or had started again, 0 for never or long ago.
func (s *Service) LastLoss() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest clock.Instant
	for address, r := range s.routers {
		if address != s.Address {
			latest = max(latest, r.lostAt, r.restartedAt)
		}
	}
	return latest
}

// known reports whether the router may be running: it is reachable or, for forgetTime, it was lost or only heard of.
func (r *router) known(now clock.Instant) bool {
	silentSince := r.since
	if r.lost {
		silentSince = r.lostAt
	}
	return r.reachable() || now.Sub(silentSince) < forgetTime
}

// LastDirectoryRead returns the time of the latest directory read that another router has reported.
func (s *Service) LastDirectoryRead() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest clock.Instant
	for _, r := range s.routers {
		latest = max(latest, r.directoryRead)
	}
	return latest
}

// CacheEntriesReceived reports whether another router has sent its cache entries.
func (s *Service) CacheEntriesReceived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cacheEntriesReceived
}

// Status is the state of one router in a dump.
type Status struct {
	Address string `json:"address"`
	Lost    bool   `json:"lost"`
	// SinceExchangeMS is the time since the last exchange that this router began, absent before the first one.
	SinceExchangeMS *int64 `json:"met_ms_ago,omitempty"`
	Pending         int    `json:"pending_news"`
}

// Dump returns the other routers.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var list []Status
	for address, r := range s.routers {
		status := Status{Address: address, Lost: r.lost, Pending: len(r.cacheUpdates) + len(r.memberChanges)}
		if r.lastExchange != 0 {
			ms := now.Sub(r.lastExchange).Milliseconds()
			status.SinceExchangeMS = &ms
		}
		list = append(list, status)
	}
	return list
}
