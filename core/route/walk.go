package route

import (
	"slices"

	"rattantrack.dev/core/rank"
	"rattantrack.dev/core/settings"
)

// MaxAsks bounds the sides asked for one attempt, the last ask included.
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
	// lightest is the side with the smallest load among those that refused for their load.
	lightest settings.UpstreamID
	load     settings.Tokens
	ended    bool
	excluded []settings.UpstreamID
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
	// Last says that no further side will be asked, and every one before had too much load.
	Last bool
}

// Next returns the next side to ask, and false when there is none left. When every side has refused for its load,
// the lightest of them is asked once more and takes the request if it can run it at all.
func (w *Walk) Next() (Step, bool) {
	if w.ended {
		return Step{}, false
	}
	if w.asks < MaxAsks-1 {
		if side, ok := w.candidate(); ok {
			return w.step(side), true
		}
	}
	w.ended = true
	if w.lightest == "" {
		return Step{}, false
	}
	w.asks++
	return Step{Side: w.lightest, Redirected: true, Last: true}, true
}

// candidate returns the first side that was named or ranked and not asked yet.
func (w *Walk) candidate() (settings.UpstreamID, bool) {
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

func (w *Walk) step(side settings.UpstreamID) Step {
	redirected := w.asks > 0
	w.asked[w.asks] = side
	w.asks++
	return Step{Side: side, Redirected: redirected}
}

func (w *Walk) wasAsked(side settings.UpstreamID) bool {
	return slices.Contains(w.asked[:w.asks], side) || slices.Contains(w.excluded, side)
}

// Exclude keeps the walk from sides that have failed the request, also where others name them.
func (w *Walk) Exclude(sides []settings.UpstreamID) { w.excluded = sides }

// Refused takes in the sides that a refusing one named.
func (w *Walk) Refused(next []settings.UpstreamID) {
	w.pending = copy(w.given[:], next)
}

// Loaded notes that a side refused for its load.
func (w *Walk) Loaded(side settings.UpstreamID, load settings.Tokens) {
	if w.lightest == "" || load < w.load {
		w.lightest = side
		w.load = load
	}
}

// Asks returns the number of sides asked so far.
func (w *Walk) Asks() int { return w.asks }
