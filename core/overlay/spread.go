package overlay

import (
	"math/rand/v2"
	"time"
)

// Limits of a Spread.
const (
	// WaveTime is how long the processes of a wave have to answer before others are told instead. RoundPause is the pause between two
	// rounds.
	WaveTime   = 200 * time.Millisecond
	RoundPause = 200 * time.Millisecond
	// maxRounds is the number of rounds while processes do not answer, maxWaves that of the waves of a round. Where all answer, the first
	// wave suffices.
	maxRounds = 5
	maxWaves  = 4
	// MaxTold bounds the processes that are told of one version.
	MaxTold = maxRounds * maxWaves * defaultSize
)

// Spread decides whom a process tells of a version, so that all that run hear of it soon whatever part of the fleet is lost. Those that do
// not answer are replaced by others; while some do not answer, more are told in further rounds, by when it is known who is lost. A process
// that is only slow must not cause many more messages, so replacements are as many as are missing. Its zero value is ready to use.
type Spread struct {
	told          map[string]bool
	rounds, waves int
	// answered is the number of processes that have answered, wanted how many shall have by the end of the round.
	answered, wanted int
	// lost reports that a peer has been lost since it was chosen.
	lost bool
}

// Begin returns the first wave, the peers of the process.
func (s *Spread) Begin(p *PeerSet, candidates []string) []string {
	s.lost = p.Lost(candidates)
	peers := p.Choose(candidates)
	s.told, s.rounds, s.waves, s.wanted = make(map[string]bool, len(peers)), 1, 1, len(peers)
	for _, address := range peers {
		s.told[address] = true
	}
	return peers
}

// Answered records that a process has answered, in time or late, and reports whether enough have.
func (s *Spread) Answered() bool {
	s.answered++
	return s.answered >= s.wanted
}

// Wave returns who is told instead of those that have not answered, nothing at the end of the round.
func (s *Spread) Wave(candidates []string) []string {
	if s.answered >= s.wanted || s.waves >= maxWaves {
		return nil
	}
	s.waves++
	return s.choose(s.wanted-s.answered, candidates)
}

// Round returns the first wave of the next round, nothing if all have answered by now and no peer was lost.
func (s *Spread) Round(candidates []string) []string {
	if s.rounds >= maxRounds || s.answered >= len(s.told) && !s.lost {
		return nil
	}
	s.rounds++
	s.waves, s.wanted = 1, s.answered+defaultSize
	return s.choose(defaultSize, candidates)
}

// choose returns up to n random candidates that have not been told.
func (s *Spread) choose(n int, candidates []string) []string {
	var list []string
	for _, i := range rand.Perm(len(candidates)) {
		if len(list) == n {
			break
		}
		if address := candidates[i]; !s.told[address] {
			s.told[address] = true
			list = append(list, address)
		}
	}
	return list
}
