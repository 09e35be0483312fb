package routers

import (
	"time"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/exchange"
)

// Limits of the sections.
const (
	// maxMemberChanges bounds the changes of instances that are kept for routers that lack them. With 7,100 instances one turns
	// over every two minutes; it covers a release of all of them.
	maxMemberChanges = 8192
	// maxCacheChanges bounds the cache entries that are kept, maxCacheEntries those of one message, at 9 bytes each.
	maxCacheChanges = 8192
	maxCacheEntries = 1024
	// cacheEntriesPerSecond bounds the cache entries that all routers together add, 9 bytes each, so that they stay below half of what a
	// router may use for control. Each router adds an equal part, within cacheBurst of its rate.
	cacheEntriesPerSecond = 1000
	cacheBurst            = 2 * time.Second
	// resumeTime is how far back the entries go that a router with a new partner gets again.
	resumeTime = 2 * time.Second
	// maxQueries bounds the upstreams that routers have queried after a start of the whole fleet. queryTime is how long after the last of
	// them they are told to a router that joins.
	maxQueries = 16_384
	queryTime  = 5 * time.Second
)

// memberChanges are the changes of instances on their way through the tree.
type memberChanges struct {
	log changeLog[members.Change]
	// hashes holds a hash of the latest change of each instance that exists, digest is their sum.
	hashes   map[settings.UpstreamID]uint64
	digest   uint64
	complete bool
}

// add records changes that a router has sent, or this one has found out itself.
func (m *memberChanges) add(now clock.Instant, source string, changes []members.Change) {
	if m.hashes == nil {
		m.hashes = make(map[settings.UpstreamID]uint64)
	}
	for _, c := range changes {
		m.log.add(now, source, c, maxMemberChanges)
		m.digest -= m.hashes[c.ID]
		delete(m.hashes, c.ID)
		if c.Removed {
			continue
		}
		n := uint64(c.Revision) << 1
		if c.Instance.Draining {
			n++
		}
		m.hashes[c.ID] = digestOf(string(c.ID), n)
		m.digest += m.hashes[c.ID]
	}
}

// memberData is the section's data.
type memberData struct {
	Complete bool
	Changes  []members.Change
}

// memberSection is the exchange of instances.
type memberSection struct{ s *Service }

func (x memberSection) ID() peer.SectionID { return peer.SectionMembers }
func (x memberSection) Name() string       { return "members" }

func (x memberSection) Version() peer.StateVersion {
	complete := x.s.Members.Complete()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	m := &x.s.tree.members
	if complete && !m.complete {
		// An empty change brings the others the word that the list is complete.
		m.complete = true
		m.log.add(x.s.Clock.Now(), "", members.Change{}, maxMemberChanges)
	}
	return m.log.version()
}

func (x memberSection) Urgent() peer.StateVersion { return x.Version() }

func (x memberSection) Digest() uint64 {
	x.Version()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	if x.s.tree.members.complete {
		return x.s.tree.members.digest + 1
	}
	return x.s.tree.members.digest
}

// Resume covers the changes that another partner may not have passed on.
func (x memberSection) Resume(now clock.Instant) peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.members.log.resume(now.Add(-resumeTime))
}

func (x memberSection) Since(_ clock.Instant, after peer.StateVersion, receiver string) (exchange.Changes, bool) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	m := &x.s.tree.members
	list, ok := m.log.since(after)
	if !ok {
		return exchange.Changes{}, false
	}
	data := memberData{Complete: m.complete}
	marked := false
	latest := make(map[settings.UpstreamID]int)
	for _, l := range list {
		if l.source == receiver {
			continue
		}
		marked = marked || l.change.ID == ""
		if i, twice := latest[l.change.ID]; twice {
			data.Changes[i] = l.change
		} else if l.change.ID != "" {
			latest[l.change.ID] = len(data.Changes)
			data.Changes = append(data.Changes, l.change)
		}
	}
	changes := exchange.Changes{To: m.log.version()}
	if marked || len(data.Changes) > 0 {
		changes.Data = encode(&data)
	}
	return changes, true
}

func (x memberSection) Bulky() bool { return true }

func (x memberSection) Full(clock.Instant, uint64) exchange.Changes {
	// The version is read before the state, so that a change in between is sent twice and not never.
	to := x.Version()
	data := memberData{Complete: x.s.Members.Complete(), Changes: x.s.Members.Snapshot()}
	if len(data.Changes) == 0 && !data.Complete {
		return exchange.Changes{To: to}
	}
	return exchange.Changes{To: to, Data: encode(&data)}
}

func (x memberSection) Apply(now clock.Instant, sender string, _ bool, data []byte) error {
	var d memberData
	if err := decode(data, &d); err != nil {
		return err
	}
	x.s.applyMembers(now, sender, d.Complete, d.Changes)
	return nil
}

// applyMembers applies changes of instances that another router has sent, and passes on those that were new.
func (s *Service) applyMembers(now clock.Instant, sender string, complete bool, changes []members.Change) {
	events := s.Members.ApplyRelayed(now, changes)
	if complete && !s.Members.Complete() {
		s.Members.MarkComplete()
		s.Log.Info("instances received from a router", "router", sender, "instances", len(changes))
	}
	if len(events) > 0 {
		s.OnEvents(sender, events)
		s.broadcast(sender, members.ChangesOf(events))
	}
}

// cacheChanges are the cache entries on their way through the tree.
type cacheChanges struct {
	log changeLog[affinity.CacheEntry]
	// room is the number of entries that this router may add now, as of at.
	room float64
	at   clock.Instant
	// left is the number of entries that were left out.
	left int64
}

// add adds entries of this router, as many as its part of the fleet's rate allows.
func (c *cacheChanges) add(now clock.Instant, entries []affinity.CacheEntry, others int) {
	rate := cacheEntriesPerSecond / float64(others+1)
	c.room = min(rate*cacheBurst.Seconds(), c.room+rate*now.Sub(c.at).Seconds())
	c.at = now
	for _, e := range entries {
		if c.room < 1 {
			c.left++
			continue
		}
		c.room--
		c.log.add(now, "", e, maxCacheChanges)
	}
}

// cacheSection is the exchange of cache entries.
type cacheSection struct{ s *Service }

func (x cacheSection) ID() peer.SectionID { return peer.SectionCaches }
func (x cacheSection) Name() string       { return "caches" }

func (x cacheSection) Version() peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.caches.log.version()
}

func (x cacheSection) Urgent() peer.StateVersion { return 0 }

// Digests of the cache index. Only a router that has just started needs the entries of another one.
const (
	digestCold = 0
	digestWarm = 2
)

func (x cacheSection) Digest() uint64 {
	if x.s.HasCacheEntries() {
		return digestWarm
	}
	return digestCold
}

// Resume covers the entries that another partner may not have passed on.
func (x cacheSection) Resume(now clock.Instant) peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.caches.log.resume(now.Add(-resumeTime))
}

func (x cacheSection) Since(now clock.Instant, after peer.StateVersion, receiver string) (exchange.Changes, bool) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	list, ok := x.s.tree.caches.log.since(after)
	if !ok {
		return exchange.Changes{}, false
	}
	to := after
	var entries []affinity.CacheEntry
	for _, l := range list {
		if len(entries) == maxCacheEntries {
			break
		}
		to++
		if l.source != receiver {
			l.change.Age += now.Sub(l.at)
			entries = append(entries, l.change)
		}
	}
	if len(entries) == 0 {
		return exchange.Changes{To: to}, true
	}
	return exchange.Changes{To: to, Data: encode(affinity.Pack(entries))}, true
}

func (x cacheSection) Bulky() bool { return false }

func (x cacheSection) Full(now clock.Instant, digest uint64) exchange.Changes {
	to := x.Version()
	if digest != digestCold || !x.s.HasCacheEntries() {
		return exchange.Changes{To: to}
	}
	return exchange.Changes{To: to, Data: encode(affinity.Pack(x.s.Affinity.Recent(now, maxRecent)))}
}

func (x cacheSection) Apply(now clock.Instant, sender string, full bool, data []byte) error {
	var batches []affinity.Batch
	if err := decode(data, &batches); err != nil {
		return err
	}
	entries, err := affinity.Unpack(batches)
	news := x.s.Affinity.Merge(now, entries)
	if full {
		// The sender's neighbours have these already.
		x.s.setCacheEntriesReceived()
		return err
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	for _, e := range news {
		x.s.tree.caches.log.add(now, sender, e, maxCacheChanges)
	}
	return err
}

// queryChanges are the upstreams whose caches routers have queried.
type queryChanges struct {
	log    changeLog[settings.UpstreamID]
	known  map[settings.UpstreamID]bool
	last   clock.Instant
	digest uint64
}

// add records upstreams that were not known, from a router or this one.
func (q *queryChanges) add(now clock.Instant, source string, ids []settings.UpstreamID) {
	for _, id := range ids {
		if q.known[id] {
			continue
		}
		if q.known == nil {
			q.known = make(map[settings.UpstreamID]bool)
		}
		q.known[id] = true
		q.last = now
		q.digest += digestOf(string(id), 0)
		q.log.add(now, source, id, maxQueries)
	}
}

// querySection is the exchange of queried upstreams.
type querySection struct{ s *Service }

func (x querySection) ID() peer.SectionID { return peer.SectionCacheQueries }
func (x querySection) Name() string       { return "cache_queries" }

func (x querySection) Version() peer.StateVersion {
	queried := x.s.CacheQueried()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.tree.queries.add(x.s.Clock.Now(), "", queried)
	return x.s.tree.queries.log.version()
}

func (x querySection) Urgent() peer.StateVersion { return 0 }

func (x querySection) Digest() uint64 {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	if q := &x.s.tree.queries; x.s.Clock.Now().Sub(q.last) < queryTime {
		return q.digest
	}
	return 0
}

func (x querySection) Resume(clock.Instant) peer.StateVersion { return x.Version() }

func (x querySection) Since(_ clock.Instant, after peer.StateVersion, receiver string) (exchange.Changes, bool) {
	x.Version()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	list, ok := x.s.tree.queries.log.since(after)
	if !ok {
		return exchange.Changes{}, false
	}
	var ids []settings.UpstreamID
	for _, l := range list {
		if l.source != receiver {
			ids = append(ids, l.change)
		}
	}
	return exchange.Changes{To: x.s.tree.queries.log.version(), Data: encodeIDs(ids)}, true
}

func (x querySection) Bulky() bool { return false }

func (x querySection) Full(now clock.Instant, _ uint64) exchange.Changes {
	to := x.Version()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	var ids []settings.UpstreamID
	if q := &x.s.tree.queries; now.Sub(q.last) < queryTime {
		for id := range q.known {
			ids = append(ids, id)
		}
	}
	return exchange.Changes{To: to, Data: encodeIDs(ids)}
}

func encodeIDs(ids []settings.UpstreamID) []byte {
	if len(ids) == 0 {
		return nil
	}
	return encode(ids)
}

func (x querySection) Apply(now clock.Instant, sender string, _ bool, data []byte) error {
	var ids []settings.UpstreamID
	if err := decode(data, &ids); err != nil {
		return err
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.tree.queries.add(now, sender, ids)
	for _, id := range ids {
		if x.s.queriedByOthers == nil {
			x.s.queriedByOthers = make(map[settings.UpstreamID]bool)
		}
		x.s.queriedByOthers[id] = true
	}
	return nil
}
