package origins

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

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
	// maxSources is how many routers one that has started asks for their history at a time.
	maxSources = 3
	// maxDirectoryAge is the age of the directory from which on a router may have missed a version.
	maxDirectoryAge = 2500 * time.Millisecond
)

// Find returns where a stream may go on that the client has events of. attempt is the client's attempt that brought the first one, empty
// if the client does not state it, and name the service that the request would go to.
func (s *Service) Find(ctx context.Context, attempt call.ID, name settings.ServiceName) (origin.Origin, origin.Verdict) {
	now := s.Clock.Now()
	var id origin.StreamID
	var k origin.Knowledge
	if attempt != "" {
		id = origin.NewStreamID(attempt)
		if o, ok := s.remembered(now, id); ok {
			k.Found = &o
		}
	}
	asked, replies := 0, 0
	if k.Found == nil {
		asked, replies = s.askFor(ctx, id, name, &k)
	}
	version, verdict := origin.Decide(&k)
	for n := 1; verdict == origin.Unknown && (n == 1 || (asked == 0 && n <= maxEarlyAsks)) && clock.Sleep(ctx, askPause); n++ {
		asked, replies = s.askFor(ctx, id, name, &k)
		version, verdict = origin.Decide(&k)
	}
	o := origin.Origin{Service: name, Version: version}
	if k.Found != nil {
		o = *k.Found
	}
	s.Scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("streams_taken_up").Inc(1)
	if verdict == origin.Unknown {
		s.Log.Warn("origin of a stream unknown", "first_attempt", attempt, "service", name, "asked", asked, "replies", replies,
			"versions", versionsOf(k.Versions), "complete", k.Complete, "fresh", k.Fresh)
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

// askFor adds what this router and those that may hold the record know.
func (s *Service) askFor(ctx context.Context, id origin.StreamID, name settings.ServiceName, k *origin.Knowledge) (asked, replies int) {
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
	for r := range s.ask(ctx, addresses, &peer.OriginQuery{Stream: id, Service: name}) {
		replies++
		k.Versions = append(k.Versions, r.Seen...)
		k.Complete = k.Complete || r.Complete
		if r.Found {
			k.Found = &r.Origin
			break
		}
	}
	now := s.Clock.Now()
	k.Versions = append(k.Versions, s.history.Seen(now, name)...)
	k.Complete = k.Complete || s.history.Complete(now) || s.history.Settled(time.Now(), name)
	k.Fresh = replies > 0 || s.DirectoryAge() < maxDirectoryAge || s.KnownRouters() <= 1
	return len(addresses), replies
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
