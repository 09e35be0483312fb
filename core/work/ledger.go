package work

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// Amount is work that is still to do.
type Amount struct {
	// Prompt is the number of prompt tokens that the upstream has neither cached nor prefilled.
	Prompt settings.Tokens
	// Events is the expected number of stream events that it has not sent.
	Events int
}

// Ledger holds the work that upstreams have to do for the requests of this router, and the sums for the other routers' requests. The
// zero value is empty and ready to use.
type Ledger struct {
	// Prompt and Events hold the amounts of all routers, each in its own sum.
	Prompt, Events inflight.Tracker
}

// Begin adds a request that is about to be sent to an upstream.
func (l *Ledger) Begin(id settings.UpstreamID, a Amount) *Entry {
	a.Prompt, a.Events = max(0, a.Prompt), max(0, a.Events)
	l.Prompt.Add(id, int(a.Prompt))
	l.Events.Add(id, a.Events)
	return &Entry{ledger: l, upstream: id, left: a}
}

// Left returns the work that each upstream has to do for all routers, in the given order.
func (l *Ledger) Left(now clock.Instant, ids []settings.UpstreamID) []Amount {
	prompt, events := l.Prompt.Loads(now, ids), l.Events.Loads(now, ids)
	amounts := make([]Amount, len(ids))
	for i := range ids {
		amounts[i] = Amount{Prompt: settings.Tokens(prompt[i]), Events: events[i]}
	}
	return amounts
}

// reportedAge is how old the other routers' amounts are on average.
const reportedAge = 120 * time.Millisecond

// Waiting returns the prompt tokens that each upstream has to prefill now, in the given order, if it prefills one in perToken. The
// amounts of other routers are from a moment ago, so what the upstream has prefilled since then is deducted.
func (l *Ledger) Waiting(now clock.Instant, ids []settings.UpstreamID, perToken time.Duration) []settings.Tokens {
	others, all := l.Prompt.Others(now, ids), l.Prompt.Loads(now, ids)
	done := 0
	if perToken > 0 {
		done = int(reportedAge / perToken)
	}
	waiting := make([]settings.Tokens, len(ids))
	for i := range ids {
		waiting[i] = settings.Tokens(all[i] - others[i] + max(0, others[i]-done))
	}
	return waiting
}

// Entry is the work of one request. A nil Entry holds none.
type Entry struct {
	ledger   *Ledger
	upstream settings.UpstreamID

	mu   sync.Mutex
	left Amount
}

// Event records an event of the stream. With the first one, the prompt is prefilled. A stream that exceeds its estimate counts as about
// to end.
func (e *Entry) Event() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilled()
	if e.left.Events > 1 {
		e.left.Events--
		e.ledger.Events.Add(e.upstream, -1)
	}
}

// End removes the request, which may have ended at any point.
func (e *Entry) End() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilled()
	e.ledger.Events.Add(e.upstream, -e.left.Events)
	e.left.Events = 0
}

func (e *Entry) prefilled() {
	if e.left.Prompt > 0 {
		e.ledger.Prompt.Add(e.upstream, -int(e.left.Prompt))
		e.left.Prompt = 0
	}
}
