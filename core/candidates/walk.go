package candidates

import (
	"slices"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// MaxRequests bounds the sides asked for one attempt, the last ask included.
const MaxRequests = 5

// Order is the order in which sides are asked for one request; it is not used twice.
type Order struct {
	ranked  [3]settings.UpstreamID
	n       int
	given   [4]settings.UpstreamID
	pending int
	asked   [MaxRequests]settings.UpstreamID
	asks    int
	home    settings.UpstreamID
	// lightest is the side with the smallest load among those that refused for their load.
	lightest settings.UpstreamID
	load     settings.Tokens
	ended    bool
	excluded []settings.UpstreamID
}

// New begins with the hint, if it names a usable side, and then follows the chat's ranking.
func New(set *rendezvous.Set, chat uint64, hint settings.UpstreamID) Order {
	var w Order
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

// Primary returns the chat's first upstream by rank.
func (w *Order) Primary() settings.UpstreamID { return w.home }

// Step is the next side to ask.
type Step struct {
	Side settings.UpstreamID
	// Redirected says that another side named this one.
	Redirected bool
	// LastCandidate says that no further side will be asked, and every one before had too much load.
	LastCandidate bool
}

// Next returns the next side to ask, and false when there is none left. When every side has refused for its load,
// the lightest of them is asked once more and takes the request if it can run it at all.
func (w *Order) Next() (Step, bool) {
	if w.ended {
		return Step{}, false
	}
	if w.asks < MaxRequests-1 {
		if side, ok := w.candidate(); ok {
			return w.step(side), true
		}
	}
	w.ended = true
	if w.lightest == "" {
		return Step{}, false
	}
	w.asks++
	return Step{Side: w.lightest, Redirected: true, LastCandidate: true}, true
}

// candidate returns the first side that was named or ranked and not asked yet.
func (w *Order) candidate() (settings.UpstreamID, bool) {
	for _, side := range w.given[:w.pending] {
		if side != "" && !w.wasAsked(side) {
			return side, true
		}
	}
	for _, side := range w.ranked[:w.n] {
		if !w.wasAsked(side) {
			return side, true
		}
	}
	return "", false
}

func (w *Order) step(side settings.UpstreamID) Step {
	redirected := w.asks > 0
	w.asked[w.asks] = side
	w.asks++
	return Step{Side: side, Redirected: redirected}
}

func (w *Order) wasAsked(side settings.UpstreamID) bool {
	return slices.Contains(w.asked[:w.asks], side) || slices.Contains(w.excluded, side)
}

// Exclude keeps the walk from sides that have failed the request, also where others name them.
func (w *Order) Exclude(sides []settings.UpstreamID) { w.excluded = sides }

// Prepend takes in the sides that a refusing one named.
func (w *Order) Prepend(next []settings.UpstreamID) {
	w.pending = copy(w.given[:], next)
}

// RecordOverloaded notes that a side refused for its load.
func (w *Order) RecordOverloaded(side settings.UpstreamID, load settings.Tokens) {
	if w.lightest == "" || load < w.load {
		w.lightest = side
		w.load = load
	}
}

// Requests returns the number of sides asked so far.
func (w *Order) Requests() int { return w.asks }
