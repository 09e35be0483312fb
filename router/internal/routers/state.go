package routers

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// queueCacheUpdates queues the new cache entries of this router for every other router.
func (s *Service) queueCacheUpdates() {
	now := s.Clock.Now()
	updates := s.Affinity.TakeUpdates(now)
	if len(updates) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tree.large {
		s.tree.caches.add(now, updates, len(s.routers))
	} else {
		s.addBacklog(now, updates)
	}
	for _, r := range s.routers {
		if !s.direct(r) {
			continue
		}
		for _, update := range updates {
			r.cacheUpdates = append(r.cacheUpdates, update)
			r.updateTimes = append(r.updateTimes, now)
		}
		if len(r.cacheUpdates) > maxPending {
			r.cacheUpdates, r.updateTimes = nil, nil
		}
	}
}

// addBacklog adds updates to the backlog and drops those above its bounds. The caller holds the lock.
func (s *Service) addBacklog(now clock.Instant, updates []affinity.CacheEntry) {
	for _, update := range updates {
		s.backlog = append(s.backlog, update)
		s.backlogTimes = append(s.backlogTimes, now)
	}
	drop := max(0, len(s.backlog)-maxBacklog)
	for drop < len(s.backlogTimes) && now.Sub(s.backlogTimes[drop]) > backlogTime {
		drop++
	}
	s.backlog = slices.Delete(s.backlog, 0, drop)
	s.backlogTimes = slices.Delete(s.backlogTimes, 0, drop)
}

// Broadcast queues instance changes for every other router.
func (s *Service) Broadcast(changes []members.Change) { s.broadcast("", changes) }

// broadcast queues instance changes for every other router but the one that has sent them.
func (s *Service) broadcast(source string, changes []members.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.members.add(s.Clock.Now(), source, changes)
	for _, r := range s.routers {
		if !s.direct(r) {
			continue
		}
		r.memberChanges = append(r.memberChanges, changes...)
		if len(r.memberChanges) > maxPending {
			r.memberChanges, r.fullStateSent = nil, false
		}
	}
}

// state returns the state to send to another router, with the cache updates queued for it or, if allEntries is set, the
// recent cache entries.
func (s *Service) state(r *router, initiating, allEntries bool) *peer.RouterState {
	now := s.Clock.Now()
	state := &peer.RouterState{
		Router: s.ID, Address: s.Address, Incarnation: s.Incarnation, Cores: s.Cores, HasCacheEntries: s.HasCacheEntries(),
	}
	if !s.exchangesDirectly(r) {
		// The rest comes over the tree.
		state.DirectoryAge, state.DirectoryFailing = s.DirectoryState()
		s.mu.Lock()
		defer s.mu.Unlock()
		state.Routers = s.newAddresses(now, r)
		return state
	}
	state.Open, state.Observations = s.InFlight.Local(), s.Unresponsive.Local(now)
	state.CacheQueried = s.CacheQueried()
	// The age is read before the changes, so that it never covers changes that are not in this state.
	state.DirectoryAge, state.DirectoryFailing = s.DirectoryState()
	state.Evacuations = s.Evacuations.Changes(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Routers = s.newAddresses(now, r)
	if !r.fullStateSent {
		state.MembersComplete = s.Members.Complete()
		state.Members = s.Members.Snapshot()
		r.fullStateSent = !initiating
	} else {
		state.Members = r.memberChanges
	}
	entries := r.cacheUpdates
	for i := range entries {
		entries[i].Age += now.Sub(r.updateTimes[i])
	}
	if allEntries {
		entries = s.Affinity.Recent(now, maxRecent)
	}
	state.CacheEntries = affinity.Pack(entries)
	r.memberChanges, r.cacheUpdates, r.updateTimes = nil, nil, nil
	return state
}

// understood returns a state that the other end of a link can decode.
func understood(link *peer.Link, state *peer.RouterState) *peer.RouterState {
	if link.Version() < peer.InstanceVersionVersion {
		state.Members = members.WithoutVersions(state.Members)
	}
	if link.Version() < peer.EvacuationsVersion {
		state.Evacuations = nil
	}
	if link.Version() < peer.CacheListingVersion {
		state.CacheEntries = affinity.WithoutListings(state.CacheEntries)
	}
	return state
}

// newAddresses returns the addresses of the reachable routers, or nil if the router has been sent the same ones. In a large fleet
// they would be the largest part of each state.
func (s *Service) newAddresses(now clock.Instant, r *router) []string {
	var list []string
	digest := uint64(1)
	for address, other := range s.routers {
		if address != r.address && other.reachable() {
			list = append(list, address)
			digest += xxhash.Sum64String(address)
		}
	}
	if digest == r.sentAddresses && now.Sub(r.sentAt) < addressesInterval {
		return nil
	}
	r.sentAddresses, r.sentAt = digest, now
	return list
}

// merge applies another router's state.
func (s *Service) merge(state *peer.RouterState, name settings.DataCentre) {
	now := s.Clock.Now()
	s.InFlight.Report(now, state.Router, name, state.Open)
	s.Unresponsive.Report(now, state.Router, state.Open, state.Observations)
	entries, err := affinity.Unpack(state.CacheEntries)
	if err != nil {
		s.Log.Warn("cannot decode the cache entries of a router", "router", state.Router, "error", err)
	}
	s.Affinity.Merge(now, entries)
	// Evacuations come first, so that instances of an evacuated data centre are never used in between.
	if changes := s.Evacuations.Apply(now, state.Evacuations); len(changes) > 0 {
		s.OnEvacuations(string(state.Router), changes)
	}
	events := s.Members.ApplyRelayed(now, state.Members)
	if state.MembersComplete && !s.Members.Complete() {
		s.Members.MarkComplete()
		s.Log.Info("instances received from a router", "router", state.Router, "instances", len(state.Members))
	}
	if len(events) > 0 {
		s.OnEvents(string(state.Router), events)
		s.broadcast(state.Address, members.ChangesOf(events))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range state.CacheQueried {
		if s.queriedByOthers == nil {
			s.queriedByOthers = make(map[settings.UpstreamID]bool)
		}
		s.queriedByOthers[id] = true
	}
	sender := s.routerAt(state.Address)
	sender.cores = state.Cores
	sender.directoryFailing, sender.hasCacheEntries = state.DirectoryFailing, state.HasCacheEntries
	sender.directoryRead = max(sender.directoryRead, now.Add(-state.DirectoryAge))
	for _, address := range state.Routers {
		if address != s.Address {
			s.routerAt(address)
		}
	}
}
