package route

import (
	"slices"

	"rattantrack.dev/core/rank"
	"rattantrack.dev/core/settings"
)

// MaxAsks bounds the sides asked for one attempt.
const MaxAsks = 5

// Walk is the order in which sides are asked for one request; it is not used twice.
type Walk struct {
	ranked  [3]settings.UpstreamID
	n       int
	given   [4]settings.UpstreamID
	pending int
	asked   [MaxAsks]settings.UpstreamID
	asks    int
	home    settings.UpstreamID
}

// New begins with the hint, if it names a usable side, and then follows the chat's ranking.
func New(set *rank.Set, chat uint64, hint settings.UpstreamID) Walk {
	var w Walk
	w.n = set.Top(chat, w.ranked[:])
	if w.n > 0 {
		w.home = w.ranked[0]
	}
	if hint != "" && hint != w.home && slices.Contains(set.IDs(), hint) {
		w.given[0] = hint
		w.pending = 1
	}
	return w
}

// Home returns the chat's first upstream by rank.
func (w *Walk) Home() settings.UpstreamID { return w.home }

// Step is the next side to ask.
type Step struct {
	Side settings.UpstreamID
	// Redirected says that another side named this one.
	Redirected bool
	// Last says that no further side will be asked.
	Last bool
}

// Next returns the next side to ask, and false when there is none left.
func (w *Walk) Next() (Step, bool) {
	if w.asks >= MaxAsks {
		return Step{}, false
	}
	for i := range w.pending {
		side := w.given[i]
		w.given[i] = ""
		if side != "" && !w.wasAsked(side) {
			return w.step(side, w.asks > 0), true
		}
	}
	for i := range w.n {
		if side := w.ranked[i]; !w.wasAsked(side) {
			return w.step(side, w.asks > 0), true
		}
	}
	return Step{}, false
}

func (w *Walk) step(side settings.UpstreamID, redirected bool) Step {
	w.asked[w.asks] = side
	w.asks++
	return Step{Side: side, Redirected: redirected, Last: w.asks == MaxAsks}
}

func (w *Walk) wasAsked(side settings.UpstreamID) bool {
	return slices.Contains(w.asked[:w.asks], side)
}

// Refused takes in the sides that a refusing one named.
func (w *Walk) Refused(next []settings.UpstreamID) {
	w.pending = copy(w.given[:], next)
}

// Asks returns the number of sides asked so far.
func (w *Walk) Asks() int { return w.asks }
