package origins

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Bounds of a question to other routers.
const (
	askTimeout = 300 * time.Millisecond
	// askPause is the pause before the routers are asked once more. A client may return before the record has arrived.
	askPause = 2 * flushInterval
	// maxEarlyAsks bounds the pauses of a router that has just started and knows no other one yet.
	maxEarlyAsks = 6
	// graceTime is how long the last routers may take once more than half of those asked have replied.
	graceTime = 60 * time.Millisecond
	// recentList is the age up to which a list counts although a router has been lost since. Routers notice a loss at different times,
	// and each would have the caches read again that another one has read just now.
	recentList = time.Second
	// maxSources is how many routers one that has started asks for their history at a time.
	maxSources = 3
	// cachesTimeout is how long a stream waits for the lists of the engines' caches.
	cachesTimeout = time.Second
	// demandPause is the time between two demands for the lists of a service, unless a router has been lost since the first one.
	demandPause = 5 * time.Second
	// refreshTimeout bounds the read of the directory for a stream whose origin other routers may know that are out of reach.
	refreshTimeout = 500 * time.Millisecond
)

// Find returns where a stream may go on that the client has events of.
func (s *Service) Find(ctx context.Context, q *origin.Question) (origin.Origin, origin.Verdict) {
	now := s.Clock.Now()
	var id origin.StreamID
	var k origin.Knowledge
	if q.FirstAttempt != "" {
		id = origin.NewStreamID(q.FirstAttempt)
		if o, ok := s.remembered(now, id); ok {
			k.Found = &o
		}
	}
	if k.Found == nil {
		s.askFor(ctx, id, q, &k)
	}
	o, verdict := origin.Decide(q.Service, &k)
	for n := 1; verdict == origin.Unknown && (n == 1 || (k.Contact.Asked == 0 && n <= maxEarlyAsks)) && clock.Sleep(ctx, askPause); n++ {
		s.askFor(ctx, id, q, &k)
		o, verdict = origin.Decide(q.Service, &k)
	}
	if verdict == origin.Unknown && !k.Contact.Current() && s.refresh(ctx, q, &k) {
		o, verdict = origin.Decide(q.Service, &k)
	}
	if verdict == origin.Unknown && s.demands(q, &k) {
		o, verdict = s.waitForCaches(ctx, q, &k)
	}
	s.Scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("streams_taken_up").Inc(1)
	if verdict == origin.Unknown {
		s.Log.Warn("origin of a stream unknown", "first_attempt", q.FirstAttempt, "service", q.Service, "asked", k.Contact.Asked,
			"replies", k.Contact.Replies, "versions", versionsOf(k.Versions), "complete", k.Complete, "whole", k.Contact.Whole,
			"refreshed", k.Contact.Refreshed, "fresh", k.Contact.Current(),
			"router_lost_ms_ago", s.Clock.Now().Sub(s.lastLoss()).Milliseconds(), "cached_at", cachedAt(k.Listings), "own_tokens", k.Own,
			"caches_unread", unread(k.Engines), "caches_unreadable", unreadable(k.Engines), "oldest_list_ms", oldestList(k.Engines).Milliseconds(),
			"listings_complete", k.ListingsComplete)
	}
	return o, verdict
}

// versionsOf returns the different versions.
func versionsOf(seen []origin.Seen) []members.Version {
	list := make([]members.Version, len(seen))
	for i := range seen {
		list[i] = seen[i].Version
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// cachedAt formats listings for a log line.
func cachedAt(listings []origin.Listing) []string {
	list := make([]string, len(listings))
	for i, l := range listings {
		list[i] = fmt.Sprintf("%s:%.0f", l.Origin.Version, l.Tokens)
	}
	return list
}

// unread returns the number of instances that have not listed their caches.
func unread(engines []origin.Engine) int {
	n := 0
	for _, e := range engines {
		if !e.HasListed {
			n++
		}
	}
	return n
}

// unreadable returns the number of instances that have not listed their caches and could not be read.
func unreadable(engines []origin.Engine) int {
	n := 0
	for _, e := range engines {
		if !e.HasListed && e.Unreadable {
			n++
		}
	}
	return n
}

// oldestList returns the age of the oldest list among those of the instances.
func oldestList(engines []origin.Engine) time.Duration {
	var oldest time.Duration
	for _, e := range engines {
		if e.HasListed {
			oldest = max(oldest, e.ListAge)
		}
	}
	return oldest
}

// addCaches adds what the engines have listed when the routers started.
func (s *Service) addCaches(now clock.Instant, q *origin.Question, k *origin.Knowledge) {
	k.Own, k.Listings, k.Engines = q.Own.Tokens, nil, nil
	if q.Own.ID == 0 {
		return
	}
	var listed []affinity.Listed
	listed, k.ListingsComplete = s.Caches.Listed(now, q.Own.ID)
	for _, l := range listed {
		k.Listings = append(k.Listings, origin.Listing{Origin: originOf(l), Tokens: settings.Tokens(l.Tokens)})
	}
	if k.Complete && len(versionsOf(k.Versions)) < 2 {
		return
	}
	after := s.listsAfter(now)
	for _, p := range s.history.Processes(q.Service) {
		age, ok := s.Caches.ReadAge(now, p.ID, p.Incarnation)
		failedAge, failed := s.Caches.FailedReadAge(now, p.ID, p.Incarnation)
		k.Engines = append(k.Engines, origin.Engine{
			Origin: p.Origin, HasListed: ok && now.Add(-age) > after, ListAge: age, Unreadable: failed && now.Add(-failedAge) > after,
		})
	}
}

// demands reports whether what engines have not listed yet may tell where a stream began: several versions may have served, and some
// instances have not been read.
func (s *Service) demands(q *origin.Question, k *origin.Knowledge) bool {
	return q.Own.ID != 0 && k.Contact.Current() && unread(k.Engines) > 0
}

// lastLoss returns when the last router was lost that this one knows of. Others may have been until it started itself.
func (s *Service) lastLoss() clock.Instant {
	lost := s.Routers.LastLoss()
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(lost, s.startedAt)
}

// listsAfter returns the time after which a list must have been read to tell what the engine lacks.
func (s *Service) listsAfter(now clock.Instant) clock.Instant {
	return min(s.lastLoss(), now.Add(-recentList))
}

// demand demands the lists of a service's engines since the last loss of a router, and returns until when a stream may wait for them.
// Engines that have not listed by then may never do so, so that the streams that come later are not held for them.
func (s *Service) demand(name settings.ServiceName) clock.Instant {
	now := s.Clock.Now()
	lost, after := s.lastLoss(), s.listsAfter(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.demandedAt[name]
	pause := demandPause
	if at <= lost {
		pause = cachesTimeout
	}
	if !ok || now.Sub(at) >= pause {
		if s.demandedAt == nil {
			s.demandedAt = make(map[settings.ServiceName]clock.Instant)
		}
		at = now
		s.demandedAt[name] = at
		s.Demand(name, after)
	}
	return at.Add(cachesTimeout)
}

// waitForCaches demands the lists of the engines and waits for them. It returns as soon as they tell where a stream began, or all
// have come.
func (s *Service) waitForCaches(ctx context.Context, q *origin.Question, k *origin.Knowledge) (origin.Origin, origin.Verdict) {
	until := s.demand(q.Service)
	for {
		now := s.Clock.Now()
		s.addCaches(now, q, k)
		if o, verdict := origin.Decide(q.Service, k); verdict != origin.Unknown || unread(k.Engines) == 0 || now >= until {
			return o, verdict
		}
		if !clock.Sleep(ctx, askPause/2) {
			return origin.Origin{}, origin.Unknown
		}
	}
}

func originOf(l affinity.Listed) origin.Origin {
	return origin.Origin{Service: l.Service, Version: l.Version}
}

// CachedAt returns the only version with a block in its caches, if several versions serve. A request that was sent to it and began
// nothing there that the client knows of goes there again, so that its block stays with one version.
func (s *Service) CachedAt(name settings.ServiceName, block call.PromptBlock) (members.Version, bool) {
	now := s.Clock.Now()
	listed, complete := s.Caches.Listed(now, block.ID)
	if len(listed) == 0 || !complete || !s.history.Mixed(now, name) {
		return "", false
	}
	for _, l := range listed {
		if l.Service != name || l.Version != listed[0].Version {
			return "", false
		}
	}
	return listed[0].Version, listed[0].Version != ""
}

// askFor adds what this router and those that may hold the record know.
func (s *Service) askFor(ctx context.Context, id origin.StreamID, q *origin.Question, k *origin.Knowledge) {
	whole := s.Routers.InTouch()
	s.mu.Lock()
	var addresses []string
	if s.holders != nil {
		key := id
		if key == 0 {
			// Any router can tell which versions have served.
			key = origin.StreamID(rand.Uint64())
		}
		addresses = s.holders.Asked(key, s.Address)
	}
	s.mu.Unlock()
	k.Contact = origin.Contact{Asked: len(addresses)}
	for r := range s.ask(ctx, addresses, &peer.OriginQuery{Stream: id, Service: q.Service}) {
		k.Contact.Replies++
		k.Versions = append(k.Versions, r.Seen...)
		k.Complete = k.Complete || r.Complete
		if r.Found {
			k.Found = &r.Origin
			break
		}
	}
	k.Contact.Whole = whole && s.Routers.InTouch()
	s.addOwn(q, k)
}

// addOwn adds what this router knows.
func (s *Service) addOwn(q *origin.Question, k *origin.Knowledge) {
	now := s.Clock.Now()
	k.Versions = append(k.Versions, s.history.Seen(now, q.Service)...)
	k.Complete = k.Complete || s.history.Complete(now)
	if k.Found == nil {
		s.addCaches(now, q, k)
	}
}

// refresh reads the directory, which names all instances at which routers out of reach can have begun the stream.
func (s *Service) refresh(ctx context.Context, q *origin.Question, k *origin.Knowledge) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := s.Refresh(ctx); err != nil {
		s.Log.Info("directory not read for a stream", "first_attempt", q.FirstAttempt, "error", err)
		return false
	}
	k.Contact.Refreshed = true
	s.addOwn(q, k)
	return true
}

// ask sends a query to routers at the same time and yields the replies as they come, until the time for them has passed.
func (s *Service) ask(ctx context.Context, addresses []string, query *peer.OriginQuery) func(yield func(*peer.OriginReply) bool) {
	return func(yield func(*peer.OriginReply) bool) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		replies := make(chan *peer.OriginReply, len(addresses))
		for _, address := range addresses {
			go func() {
				r, err := s.request(ctx, address, query)
				if err != nil {
					s.Log.Debug("cannot ask a router for an origin", "router", address, "error", err)
				}
				replies <- r
			}()
		}
		n := 0
		var grace <-chan time.Time
		for range addresses {
			select {
			case r := <-replies:
				if r == nil {
					continue
				}
				if !yield(r) {
					return
				}
				if n++; 2*n > len(addresses) && grace == nil {
					timer := time.NewTimer(graceTime)
					defer timer.Stop()
					grace = timer.C
				}
			case <-grace:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

func (s *Service) request(ctx context.Context, address string, query *peer.OriginQuery) (*peer.OriginReply, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return peer.Request[*peer.OriginReply](ctx, link, query, askTimeout)
}
