package routers

import (
	"time"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/exchange"
)

// Limits of the sections of caches.
const (
	// maxCacheChanges bounds the cache entries that are kept, maxCacheEntries those of one message, at 9 bytes each.
	maxCacheChanges = 8192
	maxCacheEntries = 1024
	// cacheEntriesPerSecond bounds the cache entries that all routers together add, 9 bytes each, so that they stay below half of what a
	// router may use for control. Each router adds an equal part, within cacheBurst of its rate.
	cacheEntriesPerSecond = 1000
	cacheBurst            = 2 * time.Second
	// maxQueries bounds the upstreams that routers have queried after a start of the whole fleet. queryTime is how long after the last of
	// them they are told to a router that joins.
	maxQueries = 16_384
	queryTime  = 5 * time.Second
)

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

func (x cacheSection) Apply(now clock.Instant, sender string, part peer.StateSection) error {
	var batches []affinity.Batch
	if err := decode(part.Data, &batches); err != nil {
		return err
	}
	entries, err := affinity.Unpack(batches)
	news := x.s.Affinity.Merge(now, entries)
	if part.Full {
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

func (x querySection) Apply(now clock.Instant, sender string, part peer.StateSection) error {
	var ids []settings.UpstreamID
	if err := decode(part.Data, &ids); err != nil {
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
