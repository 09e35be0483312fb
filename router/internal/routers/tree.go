package routers

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/router/internal/exchange"
)

// Sizes of fleets.
const (
	// largeFleet is the number of other routers from which on states spread over a tree, when an exchange with each takes half a second.
	// smallFleet is the number below which they are exchanged directly again.
	largeFleet = 41
	smallFleet = 33
	// manyInstances is the number of instances from which on a fleet of any size counts as large, since their complete list is too long
	// to send it to everyone: 3,000 are 300 KB, a quarter of a second on the slowest links. Routers that start together know of the
	// instances before they know of each other. fewInstances is the number below which that ends.
	manyInstances = 600
	fewInstances  = 500
	// mixedFleet is the number up to which some routers may still exchange directly while others use the tree.
	mixedFleet = 80
)

// Times of the tree.
const (
	// beatInterval and beatPerRouter define how often a router states over the tree that it runs. One that has not for lostBeats of these
	// intervals is lost; mostly its neighbours have noticed before.
	beatInterval  = 3 * time.Second
	beatPerRouter = 20 * time.Millisecond
	lostBeats     = 4
	// joinTime is how long after its start a router asks only for the others, since the few that it knows first are those of all.
	joinTime = 600 * time.Millisecond
	// unknownDelay is how long a router of which only the address is known is left to the tree, which brings the rest.
	// unknownInterval is the time between two attempts to reach such routers. Older programs begin exchanges themselves.
	unknownDelay    = time.Second
	unknownInterval = 200 * time.Millisecond
	// lostRetryInterval is the time between two attempts to reach lost routers, so that the roots do not add to an overload in which many
	// seem lost.
	lostRetryInterval = 200 * time.Millisecond
	// directTime is how long a router that exchanged directly is taken to go on so.
	directTime = 2 * time.Second
)

// tree is the part of the service that serves a large fleet.
type tree struct {
	// large is set in a large fleet, root if this router is the root of its data centre.
	large, root bool
	// retriedAt is when this router last tried to reach a lost one, triedAt one of which it knew only the address.
	retriedAt, triedAt clock.Instant

	table   table
	members memberChanges
	caches  cacheChanges
	queries queryChanges
}

// reviewTree decides whether the fleet is large, states that this router runs, and finds out which others do not. The caller holds the
// lock.
func (s *Service) reviewTree(now clock.Instant) {
	instances := len(s.Members.IDs())
	switch n := len(s.routers); {
	case !s.tree.large && (n >= largeFleet || instances >= manyInstances):
		s.tree.large = true
		s.backlog, s.backlogTimes = nil, nil
		for _, r := range s.routers {
			r.cacheUpdates, r.updateTimes, r.memberChanges, r.fullStateSent = nil, nil, nil, false
		}
		s.Log.Info("states spread over a tree", "routers", n, "instances", instances)
	case s.tree.large && n < smallFleet && instances < fewInstances:
		s.tree.large = false
		s.Log.Info("states are exchanged directly", "routers", n)
	}
	s.updateSelf(now)
	if !s.tree.large {
		return
	}
	limit := lostBeats * s.beatInterval()
	for _, r := range s.routers {
		if r.reachable() && r.version >= peer.StateExchangeVersion && now.Sub(r.lastSign()) > limit {
			r.lost, r.lostAt, r.since = true, now, now
			s.Scope.Counter("routers_lost").Inc(1)
			s.Log.Warn("router lost", "router", r.address, "silent_ms", now.Sub(r.lastSign()).Milliseconds())
		}
	}
}

// beatInterval returns how often each router states that it runs. The caller holds the lock.
func (s *Service) beatInterval() time.Duration {
	return max(beatInterval, time.Duration(len(s.routers))*beatPerRouter)
}

// direct reports whether states go to a router directly. The caller holds the lock.
func (s *Service) direct(r *router) bool {
	if !s.tree.large {
		return true
	}
	if r.version < peer.StateExchangeVersion {
		return r.version != 0
	}
	return len(s.routers) <= mixedFleet && len(s.Members.IDs()) < manyInstances && r.lastReceived != 0 && s.Clock.Now().Sub(r.lastReceived) < directTime
}

func (s *Service) exchangesDirectly(r *router) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct(r)
}

// contacts reports whether this router begins direct exchanges with another one. In a large fleet it does with older programs, with
// those of which it knows nothing, and, as the root of its tree or if it knows no other router, with lost ones, so that the parts of a
// fleet that was cut meet again. The caller holds the lock.
func (s *Service) contacts(r *router, now clock.Instant) bool {
	switch {
	case !s.tree.large:
		return true
	case r.version >= peer.StateExchangeVersion:
		if !r.lost || !s.tree.root || now.Sub(r.since) < retryPause || now.Sub(s.tree.retriedAt) < lostRetryInterval {
			return false
		}
		s.tree.retriedAt = now
		return true
	case r.version == 0:
		if !r.seed && (now.Sub(r.since) < unknownDelay || now.Sub(s.tree.triedAt) < unknownInterval) {
			return false
		}
		if !r.seed {
			s.tree.triedAt = now
		}
	}
	return true
}

// capable returns the reachable routers that can take part in the tree. The caller holds the lock.
func (s *Service) capable() []relay.Router {
	var list []relay.Router
	for address, r := range s.routers {
		if address != s.Address && r.reachable() && r.version >= peer.StateExchangeVersion {
			list = append(list, relay.Router{Address: address, DataCentre: r.dataCentre, Cores: r.cores})
		}
	}
	return list
}

// Partners returns the routers above this one in the tree, none in a small fleet.
func (s *Service) Partners() []exchange.Partner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tree.large {
		return nil
	}
	list := s.capable()
	unknown := 0
	for _, r := range s.routers {
		if r.version == 0 {
			unknown++
		}
	}
	joining := 2*unknown > len(s.routers) || s.Clock.Now().Sub(s.started) < joinTime
	parents, root := relay.Parents(relay.Router{Address: s.Address, DataCentre: s.DataCentre, Cores: s.Cores}, list)
	s.tree.root = root
	partners := make([]exchange.Partner, 0, len(parents))
	for _, address := range parents {
		partners = append(partners, exchange.Partner{Address: address, Joining: joining})
	}
	return partners
}

// Met records a successful exchange over the tree.
func (s *Service) Met(address string, incarnation peer.Incarnation, link *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	r := s.routerAt(address)
	if r.runsAs(now, incarnation) {
		r.fullStateSent, r.sentAddresses = false, 0
	}
	if r.lost {
		s.Log.Info("router met", "router", address, "lost", true)
		r.changed = s.tree.table.next()
	}
	r.lost = false
	r.dataCentre, r.version = link.Remote().DataCentre, link.Version()
	r.beatAt = now
}

// Lost records a failed exchange over the tree.
func (s *Service) Lost(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routerAt(address)
	now := s.Clock.Now()
	if !r.lost {
		r.lostAt = now
		s.Log.Warn("router lost", "router", address)
		s.Scope.Counter("routers_lost").Inc(1)
	}
	r.lost, r.since = true, now
	s.claimLost(r)
}

// FleetSize returns the number of reachable routers of a large fleet, with this one, and 0 in a small one, whose routers count each
// other by their open requests.
func (s *Service) FleetSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tree.large {
		return 0
	}
	n := 1
	for address, r := range s.routers {
		if address != s.Address && r.reachable() {
			n++
		}
	}
	return n
}

// Sections returns the state that spreads over the tree.
func (s *Service) Sections() []exchange.Section {
	// Evacuations come before instances, so that instances of an evacuated data centre are never used in between.
	return []exchange.Section{routerSection{s}, evacuationSection{s}, memberSection{s}, cacheSection{s}, querySection{s}}
}

// digestOf returns a hash of a text and a number.
func digestOf(text string, n uint64) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(text)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n))
	return h.Sum64()
}
