package overlay

import (
	"math/rand/v2"
	"time"
)

// Limits of a Spread.
const (
	// WaveTime is how long the processes of a wave have to answer before others are told instead. RoundPause is the pause between two
	// rounds.
	WaveTime   = 150 * time.Millisecond
	RoundPause = 300 * time.Millisecond
	// maxRounds is the number of rounds while processes do not answer. Where all answer, the first round suffices.
	maxRounds = 4
	// maxTold bounds the processes that are told of one version.
	maxTold = 160
	// maxWave bounds the processes that are told at once.
	maxWave = 40
)

// Spread decides whom a process tells of a version, so that all that run hear of it soon whatever part of the fleet is lost. Those that do
// not answer are replaced at once by as many others as it takes at the share that has answered so far; while some do not answer, more are
// told in further rounds. Its zero value is ready to use.
type Spread struct {
	told   map[string]bool
	rounds int
	// wanted is the number of processes that are still to answer in this round.
	wanted int
	// answered is the number of processes that have answered.
	answered int
	// failed reports that a process has not answered.
	failed bool
}

// Begin returns the first wave, the peers of the process.
func (s *Spread) Begin(peers []string) []string {
	s.told, s.rounds = make(map[string]bool, len(peers)), 1
	for _, address := range peers {
		s.told[address] = true
	}
	s.wanted = len(peers)
	return peers
}

// Wave returns who is told next, when a number of the last wave have answered. It returns nothing at the end of the round.
func (s *Spread) Wave(answered int, candidates []string) []string {
	s.wanted -= answered
	s.answered += answered
	if s.wanted <= 0 {
		return nil
	}
	s.failed = true
	return s.choose(min(maxWave, s.wanted*len(s.told)/max(1, s.answered)), candidates)
}

// Round returns the first wave of the next round, nothing if there is none.
func (s *Spread) Round(candidates []string) []string {
	if !s.failed || s.rounds >= maxRounds {
		return nil
	}
	s.rounds++
	s.wanted = defaultSize
	return s.choose(s.wanted, candidates)
}

// choose returns up to n random candidates that have not been told.
func (s *Spread) choose(n int, candidates []string) []string {
	n = min(n, maxTold-len(s.told))
	if n <= 0 {
		return nil
	}
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
