package gossip

import (
	"context"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/overlay"
)

// maxComparisons bounds the peers that are tried for one comparison.
const maxComparisons = 4

// announce compares the version in force with peers until enough of them have answered.
func (s *Service) announce(ctx context.Context) {
	before, _ := s.Store.Current()
	spread := s.compareWithPeers(ctx)
	for {
		wave := spread.Round(s.Candidates())
		if len(wave) == 0 || !clock.Sleep(ctx, overlay.RoundPause) {
			return
		}
		if now, _ := s.Store.Current(); now.Revision > before.Revision {
			// A newer version is announced already.
			return
		}
		s.compareRound(ctx, spread, wave)
	}
}

// compareWithPeers compares versions with the peers, or with others if these do not answer.
func (s *Service) compareWithPeers(ctx context.Context) *overlay.Spread {
	spread := &overlay.Spread{}
	s.compareRound(ctx, spread, spread.Begin(s.peers.Choose(s.Candidates())))
	return spread
}

func (s *Service) compareRound(ctx context.Context, spread *overlay.Spread, wave []string) {
	for len(wave) > 0 && ctx.Err() == nil {
		wave = spread.Wave(s.compareWave(ctx, wave), s.Candidates())
	}
}

// compareWave compares versions with several processes and returns how many have answered in time. The others may still do so later.
func (s *Service) compareWave(ctx context.Context, wave []string) int {
	results := make(chan bool, len(wave))
	for _, address := range wave {
		s.pending.Add(1)
		go func() {
			defer s.pending.Done()
			results <- s.compare(ctx, address)
		}()
	}
	timer := time.NewTimer(overlay.WaveTime)
	defer timer.Stop()
	answered := 0
	for range wave {
		select {
		case ok := <-results:
			if ok {
				answered++
			}
		case <-timer.C:
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// compareWithOne starts a goroutine that compares versions with one peer, or with another one if that does not answer.
func (s *Service) compareWithOne(ctx context.Context) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		for range maxComparisons {
			address, ok := s.peers.Pick(s.Candidates())
			if !ok || s.compare(ctx, address) || ctx.Err() != nil {
				return
			}
		}
	}()
}
