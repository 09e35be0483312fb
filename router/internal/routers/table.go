package routers

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/exchange"
)

// tableEntry is what spreads over the tree about a router.
type tableEntry struct {
	id inflight.RouterID
	// beat is the latest number by which the router has stated that it runs, beatAt is when this router learnt of it.
	beat   uint64
	beatAt clock.Instant
	// claimedLost is set if a neighbour of the router in the tree has lost it since that beat.
	claimedLost bool
	// changed and beaten are the versions of the table at which the entry and the beat last changed, source is the router that said so.
	changed, beaten peer.StateVersion
	source          string
}

// table is the list of routers that spreads over the tree. The entries are those of Service.routers.
type table struct {
	version, urgent peer.StateVersion
	byHash          map[uint64]*router
	self            tableEntry
	// hasCacheEntries and directoryFailing are those of this router's latest entry.
	hasCacheEntries, directoryFailing bool
}

// next returns a new version.
func (t *table) next() peer.StateVersion {
	t.version++
	return t.version + 1
}

// routerEntry is one router on the wire.
type routerEntry struct {
	Address          string
	ID               inflight.RouterID
	Incarnation      peer.Incarnation
	DataCentre       settings.DataCentre
	Version          int
	Cores            float64
	Beat             uint64
	Lost             bool
	HasCacheEntries  bool
	DirectoryFailing bool
}

// routerData is the section's data. Beats holds the beats of entries that have not changed otherwise: the hash of the address and the
// beat, 8 bytes each in network byte order.
type routerData struct {
	Entries []routerEntry
	Beats   []byte
}

const beatBytes = 16

// updateSelf changes this router's own entry when due. The caller holds the lock.
func (s *Service) updateSelf(now clock.Instant) {
	t := &s.tree.table
	hasCacheEntries := s.HasCacheEntries()
	_, failing := s.DirectoryState()
	changed := t.self.changed == 0 || hasCacheEntries != t.hasCacheEntries || failing != t.directoryFailing
	if !changed && now.Sub(t.self.beatAt) < s.beatInterval() {
		return
	}
	t.hasCacheEntries, t.directoryFailing = hasCacheEntries, failing
	s.beatSelf(now, changed)
}

// beatSelf states that this router runs. The numbers follow the time of day, so that those of a new process are mostly higher than those
// of the one before. The caller holds the lock.
func (s *Service) beatSelf(now clock.Instant, changed bool) {
	t := &s.tree.table
	t.self.beat = max(t.self.beat+1, uint64(time.Now().UnixMilli()))
	t.self.beatAt = now
	t.self.beaten = t.next()
	if changed {
		t.self.changed = t.self.beaten
		t.urgent = t.self.beaten
	}
}

// claimLost tells the others that this router has lost a neighbour. The caller holds the lock.
func (s *Service) claimLost(r *router) {
	if r.claimedLost || r.beat == 0 {
		return
	}
	t := &s.tree.table
	r.claimedLost, r.changed, r.source = true, t.next(), ""
	t.urgent = r.changed
}

// forget removes a router. The caller holds the lock.
func (s *Service) forget(r *router) {
	s.forgottenLostAt = max(s.forgottenLostAt, r.lostAt)
	delete(s.routers, r.address)
	delete(s.tree.table.byHash, xxhash.Sum64String(r.address))
}

// entry returns the wire form of a router's entry. The caller holds the lock.
func (r *router) entry() routerEntry {
	return routerEntry{
		Address: r.address, ID: r.id, Incarnation: r.incarnation, DataCentre: r.dataCentre, Version: r.version, Cores: r.cores,
		Beat: r.beat, Lost: r.claimedLost, HasCacheEntries: r.hasCacheEntries, DirectoryFailing: r.directoryFailing,
	}
}

// selfEntry returns this router's own entry. The caller holds the lock.
func (s *Service) selfEntry() routerEntry {
	t := &s.tree.table
	return routerEntry{
		Address: s.Address, ID: s.ID, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Version: peer.ProtocolVersion, Cores: s.Cores,
		Beat: t.self.beat, HasCacheEntries: t.hasCacheEntries, DirectoryFailing: t.directoryFailing,
	}
}

// applyEntry records what another router says about a router, if that is newer. The caller holds the lock.
func (s *Service) applyEntry(now clock.Instant, source string, e routerEntry) {
	t := &s.tree.table
	if e.Address == s.Address {
		if (e.Lost || e.Incarnation != s.Incarnation) && e.Beat >= t.self.beat {
			t.self.beat = e.Beat
			s.beatSelf(now, true)
		}
		return
	}
	r := s.routers[e.Address]
	if r == nil && e.Lost {
		return
	}
	if r == nil {
		r = s.routerAt(e.Address)
	}
	if e.Beat < r.beat || (e.Beat == r.beat && (!e.Lost || r.claimedLost)) {
		return
	}
	before, wasLost := r.entry(), r.lost
	r.runsAs(now, e.Incarnation)
	r.id, r.dataCentre, r.version, r.cores = e.ID, e.DataCentre, e.Version, e.Cores
	r.hasCacheEntries, r.directoryFailing = e.HasCacheEntries, e.DirectoryFailing
	r.beat, r.claimedLost, r.source = e.Beat, e.Lost, source
	if e.Lost {
		s.believeLost(now, r)
	} else {
		s.believeAlive(now, r)
	}
	before.Beat = r.beat
	r.beaten = t.next()
	if before != r.entry() || wasLost != r.lost {
		r.changed = r.beaten
		t.urgent = r.beaten
	}
	s.indexRouter(r)
}

// believeLost marks a router as lost unless this one has heard it since its neighbour can have lost it. The caller holds the lock.
func (s *Service) believeLost(now clock.Instant, r *router) {
	if r.lost || now.Sub(max(r.lastExchange, r.lastReceived)) < exchangeTimeout {
		return
	}
	r.lost, r.lostAt, r.since = true, now, now
	s.Log.Info("router lost by its neighbour", "router", r.address, "source", r.source)
}

func (s *Service) believeAlive(now clock.Instant, r *router) {
	r.beatAt, r.lost = now, false
}

// indexRouter adds a router to the index by the hash of its address. The caller holds the lock.
func (s *Service) indexRouter(r *router) {
	t := &s.tree.table
	if t.byHash == nil {
		t.byHash = make(map[uint64]*router)
	}
	t.byHash[xxhash.Sum64String(r.address)] = r
}

// applyBeat records that a router runs. The caller holds the lock.
func (s *Service) applyBeat(now clock.Instant, source string, hash, beat uint64) {
	r := s.tree.table.byHash[hash]
	if r == nil || beat <= r.beat {
		return
	}
	r.beat, r.source = beat, source
	r.beaten = s.tree.table.next()
	if r.claimedLost || r.lost {
		// Others may have left it out of their complete lists.
		r.claimedLost, r.changed = false, r.beaten
	}
	s.believeAlive(now, r)
}

// routerSection is the exchange of the routers.
type routerSection struct{ s *Service }

func (x routerSection) ID() peer.SectionID { return peer.SectionRouters }
func (x routerSection) Name() string       { return "routers" }

func (x routerSection) Version() peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.table.version + 1
}

func (x routerSection) Urgent() peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.table.urgent
}

// Digest covers which routers run which process, this one too.
func (x routerSection) Digest() uint64 {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	sum := digestOf(x.s.Address, xxhash.Sum64String(string(x.s.Incarnation)))
	for address, r := range x.s.routers {
		if r.beat != 0 && r.reachable() {
			sum += digestOf(address, xxhash.Sum64String(string(r.incarnation)))
		}
	}
	return sum
}

func (x routerSection) Bulky() bool { return false }

func (x routerSection) Resume(clock.Instant) peer.StateVersion { return x.Version() }

func (x routerSection) Since(_ clock.Instant, after peer.StateVersion, receiver string) (exchange.Changes, bool) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	t := &x.s.tree.table
	if after > t.version+1 {
		return exchange.Changes{}, false
	}
	var data routerData
	add := func(e tableEntry, address string, full func() routerEntry) {
		switch {
		case e.changed > after:
			data.Entries = append(data.Entries, full())
		case e.beaten > after:
			data.Beats = binary.BigEndian.AppendUint64(data.Beats, xxhash.Sum64String(address))
			data.Beats = binary.BigEndian.AppendUint64(data.Beats, e.beat)
		}
	}
	add(t.self, x.s.Address, x.s.selfEntry)
	for address, r := range x.s.routers {
		// A router must hear that it counts as lost.
		if r.source != receiver && (address != receiver || r.claimedLost) {
			add(r.tableEntry, address, r.entry)
		}
	}
	return exchange.Changes{To: t.version + 1, Data: data.encode()}, true
}

func (x routerSection) Full(clock.Instant, uint64) exchange.Changes {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	data := routerData{Entries: []routerEntry{x.s.selfEntry()}}
	for _, r := range x.s.routers {
		if r.beat != 0 && r.reachable() {
			data.Entries = append(data.Entries, r.entry())
		}
	}
	return exchange.Changes{To: x.s.tree.table.version + 1, Data: data.encode()}
}

func (d routerData) encode() []byte {
	if len(d.Entries) == 0 && len(d.Beats) == 0 {
		return nil
	}
	return encode(&d)
}

func (x routerSection) Apply(now clock.Instant, sender string, part peer.StateSection) error {
	var d routerData
	if err := decode(part.Data, &d); err != nil {
		return err
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	for _, e := range d.Entries {
		x.s.applyEntry(now, sender, e)
	}
	for beat := range slices.Chunk(d.Beats, beatBytes) {
		if len(beat) == beatBytes {
			x.s.applyBeat(now, sender, binary.BigEndian.Uint64(beat), binary.BigEndian.Uint64(beat[8:]))
		}
	}
	return nil
}
