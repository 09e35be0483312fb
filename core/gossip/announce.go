package gossip

import (
	"context"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/overlay"
)

// lateTime is how long results are collected that have come during a pause.
const lateTime = 5 * time.Millisecond

// maxComparisons bounds the peers that are tried for one comparison.
const maxComparisons = 4

// broadcast tells processes of the version in force.
type broadcast struct {
	*Service
	spread overlay.Spread
	// results are those of the comparisons, open is the number of those under way.
	results chan bool
	open    int
}

// announce compares the version in force with peers until enough of them have answered.
func (s *Service) announce(ctx context.Context) {
	before, _ := s.Store.Current()
	b := s.compareWithPeers(ctx)
	for clock.Sleep(ctx, overlay.RoundPause) {
		if now, _ := s.Store.Current(); now.Revision > before.Revision {
			// A newer version is announced already.
			return
		}
		b.collect(ctx, lateTime)
		wave := b.spread.Round(s.Candidates())
		if len(wave) == 0 {
			return
		}
		b.round(ctx, wave)
	}
}

// compareWithPeers compares versions with the peers, or with others if these do not answer.
func (s *Service) compareWithPeers(ctx context.Context) *broadcast {
	b := &broadcast{Service: s, results: make(chan bool, overlay.MaxTold)}
	b.round(ctx, b.spread.Begin(&s.peers, s.Candidates()))
	return b
}

// round compares versions with the processes of a wave, and then with those of the next ones, until enough have answered.
func (b *broadcast) round(ctx context.Context, wave []string) {
	for len(wave) > 0 && ctx.Err() == nil {
		for _, address := range wave {
			b.open++
			b.pending.Add(1)
			go func() {
				defer b.pending.Done()
				b.compare(ctx, address, func(ok bool) { b.results <- ok })
			}()
		}
		b.collect(ctx, overlay.WaveTime)
		wave = b.spread.Wave(b.Candidates())
	}
}

// collect waits for results until enough have come or the time has passed. Later ones count the next time.
func (b *broadcast) collect(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for b.open > 0 {
		select {
		case ok := <-b.results:
			b.open--
			if ok && b.spread.Answered() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// compareWithOne starts a goroutine that compares versions with one peer, or with another one if that does not answer.
func (s *Service) compareWithOne(ctx context.Context) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		for range maxComparisons {
			address, ok := s.peers.Pick(s.Candidates())
			if !ok || ctx.Err() != nil {
				return
			}
			answered := false
			if s.compare(ctx, address, func(ok bool) { answered = ok }); answered {
				return
			}
		}
	}()
}
