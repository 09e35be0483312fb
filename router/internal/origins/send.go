package origins

import (
	"context"
	"maps"
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
)

// entry is a record that waits to be sent.
type entry struct {
	stream origin.StreamID
	origin origin.Origin
}

// partner is another router with the records that wait for it.
type partner struct {
	incarnation peer.Incarnation
	pending     []entry
	sending     bool
	retryAt     clock.Instant
}

// enqueue adds a record for a partner. s.mu is held.
func (s *Service) enqueue(p *partner, e entry) {
	if len(p.pending) >= maxPending {
		p.pending = slices.Delete(p.pending, 0, 1)
		s.Scope.Counter("stream_origins_dropped").Inc(1)
	}
	p.pending = append(p.pending, e)
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// review takes note of routers that have come or gone, and of services whose records are to be shared from now on, and sends the records
// that other routers now hold. A router that has started asks others for their history.
func (s *Service) review(ctx context.Context) {
	now := s.Clock.Now()
	s.began.Expire(now)
	s.held.Expire(now)
	newsAge := s.history.NewsAge(now, s.DirectoryAge())
	s.recordGap(now, newsAge)
	sharing := s.history.Sharing(now, newsAge)
	routers := s.Routers.OriginRouters()
	s.mu.Lock()
	before, sharedBefore := s.holders, s.sharing
	fresh := make(map[string]bool)
	partners := make(map[string]*partner, len(routers))
	for _, r := range routers {
		p := s.partners[r.Address]
		if p == nil || p.incarnation != r.Incarnation {
			p = &partner{incarnation: r.Incarnation}
			fresh[r.Address] = true
		}
		partners[r.Address] = p
	}
	changed := len(fresh) > 0 || len(partners) != len(s.partners)
	s.partners, s.sharing = partners, sharing
	if changed || s.holders == nil {
		s.holders = origin.NewHolders(append(slices.Collect(maps.Keys(partners)), s.Address))
	}
	after := s.holders
	inherits := !s.inherited && !s.history.Complete(now) && len(partners) > 0 && now >= s.inheritAt
	if inherits {
		s.inheritAt = now.Add(inheritPause)
	}
	s.mu.Unlock()
	if sharing.Uncertain != sharedBefore.Uncertain {
		s.Log.Info("sharing of stream origins", "all", sharing.Uncertain, "history_complete", s.history.Complete(now),
			"news_age_ms", newsAge.Milliseconds(), "streams", s.began.Len())
	}

	var moved []entry
	s.began.Each(now, func(id origin.StreamID, o origin.Origin) {
		if sharing.Of(o.Service) && (changed || !sharedBefore.Of(o.Service)) {
			moved = append(moved, entry{stream: id, origin: o})
		}
	})
	for _, e := range moved {
		var had []string
		if before != nil && sharedBefore.Of(e.origin.Service) {
			had = before.Of(e.stream, s.Address)
		}
		for _, address := range after.Of(e.stream, s.Address) {
			if p := partners[address]; p != nil && (fresh[address] || !slices.Contains(had, address)) {
				s.mu.Lock()
				s.enqueue(p, e)
				s.mu.Unlock()
			}
		}
	}
	if inherits {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.inherit(ctx, slices.Collect(maps.Keys(partners)))
		}()
	}
}

// recordGap makes the history incomplete while an instance may join and end that only routers out of reach hear of.
func (s *Service) recordGap(now clock.Instant, newsAge time.Duration) {
	if newsAge <= origin.MaxDirectoryAge || s.Routers.InTouch() {
		if s.gapSince != 0 {
			missing, _ := s.history.Missing(now)
			s.Log.Info("gap in the history of versions has ended", "lasted_ms", now.Sub(s.gapSince).Milliseconds(),
				"incomplete_for_ms", missing.Milliseconds(), "news_age_ms", newsAge.Milliseconds())
			s.gapSince = 0
		}
		return
	}
	if s.gapSince == 0 {
		s.gapSince = now
		s.Scope.Counter("version_history_gaps").Inc(1)
		s.Log.Info("gap in the history of versions", "was_complete", s.history.Complete(now), "news_age_ms", newsAge.Milliseconds(),
			"routers", len(s.Routers.OriginRouters()))
	}
	s.history.Interrupt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inherited = false
}

// inherit asks other routers for their history.
func (s *Service) inherit(ctx context.Context, addresses []string) {
	for r := range s.ask(ctx, addresses[:min(len(addresses), maxSources)], &peer.OriginQuery{}) {
		s.history.Merge(s.Clock.Now(), r.Seen, r.Complete)
		if r.Complete {
			s.mu.Lock()
			isFirst := !s.inherited
			s.inherited = true
			s.mu.Unlock()
			if isFirst {
				s.Log.Info("versions learnt from a router", "router", r.Router, "versions", len(r.Seen))
			}
		}
	}
}

// flush starts to send the records that wait.
func (s *Service) flush(ctx context.Context) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.partners {
		if len(p.pending) == 0 || p.sending || now < p.retryAt {
			continue
		}
		entries := p.pending
		p.pending, p.sending = nil, true
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.send(ctx, address, p, entries)
		}()
	}
}

// send sends records to a router; those that it cannot send wait again.
func (s *Service) send(ctx context.Context, address string, p *partner, entries []entry) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	link, err := s.Dialer.Dial(ctx, address)
	if err == nil {
		err = peer.Notify(ctx, link, &peer.StreamOrigins{Batches: batches(entries)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.sending = false
	if err == nil {
		s.Scope.Counter("stream_origins_sent").Inc(int64(len(entries)))
		return
	}
	s.Scope.Counter("stream_origins_send_failures").Inc(1)
	s.Log.Debug("cannot send the origins of streams", "router", address, "streams", len(entries), "error", err)
	p.retryAt = s.Clock.Now().Add(retryPause)
	for _, e := range entries {
		s.enqueue(p, e)
	}
}

// batches groups records by origin.
func batches(entries []entry) []peer.OriginBatch {
	var list []peer.OriginBatch
	for _, e := range entries {
		i := slices.IndexFunc(list, func(b peer.OriginBatch) bool { return b.Origin == e.origin })
		if i < 0 {
			i = len(list)
			list = append(list, peer.OriginBatch{Origin: e.origin})
		}
		list[i].Streams = append(list[i].Streams, e.stream)
	}
	return list
}
