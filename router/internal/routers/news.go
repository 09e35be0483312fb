package routers

import (
	"slices"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// spreadHoldings queues what this router has learnt of cached prompts for every other router.
func (s *Service) spreadHoldings() {
	now := s.Clock.Now()
	news := s.Affinity.TakeUpdates(now)
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(now, news)
	for _, r := range s.routers {
		for _, n := range news {
			r.holdings = append(r.holdings, n)
			r.stamps = append(r.stamps, now)
		}
		if len(r.holdings) > maxPending {
			r.holdings, r.stamps = nil, nil
		}
	}
}

// keep adds news to the backlog and drops what is too old; the caller holds the lock.
func (s *Service) keep(now clock.Instant, news []affinity.CacheEntry) {
	for _, n := range news {
		s.backlog = append(s.backlog, n)
		s.stamps = append(s.stamps, now)
	}
	drop := max(0, len(s.backlog)-maxBacklog)
	for drop < len(s.stamps) && now.Sub(s.stamps[drop]) > backlogTime {
		drop++
	}
	s.backlog = slices.Delete(s.backlog, 0, drop)
	s.stamps = slices.Delete(s.stamps, 0, drop)
}

// Broadcast queues changes of instances for every other router.
func (s *Service) Broadcast(changes []members.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routers {
		r.members = append(r.members, changes...)
		if len(r.members) > maxPending {
			r.members, r.greeted = nil, false
		}
	}
}

// state returns what another router should hear now: the news of cached prompts since the last time, or all of them.
func (s *Service) state(r *router, asking, allHoldings bool) *peer.RouterState {
	now := s.Clock.Now()
	state := &peer.RouterState{
		Router: s.ID, Address: s.Address, Incarnation: s.Incarnation, Cores: s.Cores, Open: s.InFlight.Local(),
		Responsiveness: s.Unresponsive.Local(now), HasCacheEntries: s.HasCacheEntries(),
	}
	state.CacheQueried = s.CacheQueried()
	// The age is taken before the changes are, so that it never vouches for changes that are not told.
	state.DirectoryAge, state.DirectoryFailing = s.DirectoryState()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, other := range s.routers {
		if address != r.address && other.alive() {
			state.Routers = append(state.Routers, address)
		}
	}
	if !r.greeted {
		state.MembersComplete = s.Members.Complete()
		state.Members = s.Members.Snapshot()
		r.greeted = !asking
	} else {
		state.Members = r.members
	}
	holdings := r.holdings
	for i := range holdings {
		holdings[i].Age += now.Sub(r.stamps[i])
	}
	if allHoldings {
		holdings = s.Affinity.Recent(now, maxRecent)
	}
	state.CacheEntries = affinity.Pack(holdings)
	r.members, r.holdings, r.stamps = nil, nil, nil
	return state
}

// learn takes in another router's state.
func (s *Service) learn(m *peer.RouterState) {
	now := s.Clock.Now()
	s.InFlight.Report(now, m.Router, m.Open)
	s.Unresponsive.Report(now, m.Router, m.Open, m.Responsiveness)
	holdings, err := affinity.Unpack(m.CacheEntries)
	if err != nil {
		s.Log.Warn("cached prompts of a router refused", "router", m.Router, "error", err)
	}
	s.Affinity.Merge(now, holdings)
	events := s.Members.ApplyRelayed(now, m.Members)
	if m.MembersComplete && !s.Members.Complete() {
		s.Members.MarkComplete()
		s.Log.Info("instances learnt from a router", "router", m.Router, "instances", len(m.Members))
	}
	if len(events) > 0 {
		s.OnEvents(string(m.Router), events)
		s.Broadcast(changed(m.Members, events))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range m.CacheQueried {
		if s.inventoried == nil {
			s.inventoried = make(map[settings.UpstreamID]bool)
		}
		s.inventoried[id] = true
	}
	from := s.add(m.Address)
	from.cores = m.Cores
	from.failing, from.knows = m.DirectoryFailing, m.HasCacheEntries
	from.informed = max(from.informed, now.Add(-m.DirectoryAge))
	for _, address := range m.Routers {
		if address != s.Address {
			s.add(address)
		}
	}
}

// changed returns the changes that were news here, which other routers may lack too.
func changed(all []members.Change, events []members.Event) []members.Change {
	var list []members.Change
	for _, c := range all {
		if slices.ContainsFunc(events, func(e members.Event) bool { return e.ID == c.ID }) {
			list = append(list, c)
		}
	}
	return list
}
