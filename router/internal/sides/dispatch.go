package sides

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/ticket"
)

// Times between attempts.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	homeTries  = 3
	// verdictGrace lets a side's own refusal at the deadline arrive, which proves that nothing was run.
	verdictGrace = 100 * time.Millisecond
	defaultRetry = time.Second
)

// Dispatcher takes calls to sides.
type Dispatcher struct {
	View     *View
	Endpoint *peer.Endpoint
	Clock    Clock
	Log      *log.Logger
	Scope    tally.Scope

	budget retry.Budget
}

// Do runs one call and returns its one outcome.
func (d *Dispatcher) Do(ctx context.Context, c *Call, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.Clock.Now())+verdictGrace)
	defer cancel()
	d.budget.RecordFirstAttempt()
	p := &progress{sink: sink, stream: c.Stream}
	r := d.dispatch(ctx, c, p)
	if r.Outcome == peer.OutcomeDone {
		if err := p.finish(); err != nil {
			r.Code = CodeCallerGone
		}
	}
	r.Attempts = int(p.attempt)
	if r.Outcome != peer.OutcomeDone && r.RetryAfter <= 0 {
		r.RetryAfter = defaultRetry
	}
	d.Scope.Tagged(map[string]string{"outcome": string(r.Outcome)}).Counter("calls").Inc(1)
	return r
}

func (d *Dispatcher) dispatch(ctx context.Context, c *Call, p *progress) Result {
	if c.Key != "" || c.Ticket != "" {
		return d.atHome(ctx, c, p)
	}
	return d.anywhere(ctx, c, p)
}

// anywhere runs a call at whichever side takes it.
func (d *Dispatcher) anywhere(ctx context.Context, c *Call, p *progress) Result {
	s := &search{d: d, c: c, p: p, walk: d.walk(c, c.Hint)}
	for {
		step, ok := s.walk.Next()
		if !ok {
			if given, stop := s.exhausted(ctx); stop {
				return given
			}
			continue
		}
		if result, stop := s.attempted(ctx, step, d.attempt(ctx, c, p, step)); stop {
			return result
		}
	}
}

func (d *Dispatcher) walk(c *Call, hint settings.UpstreamID) candidates.Order {
	key := c.Chat
	if key == 0 {
		// Calls that are no chats return to nothing and are spread.
		key = rand.Uint64()
	}
	return candidates.New(d.View.Usable(c.Profile.Service), key, hint)
}

// note remembers what a refusal says about the side itself.
func (d *Dispatcher) note(side settings.UpstreamID, r *peer.Refuse) {
	switch r.Code {
	case peer.RefuseLeaving:
		d.View.Left(side)
	case peer.RefuseUpstream:
		d.View.Failed(side)
	}
}

// tellHome tells a chat's home which side served it.
func (d *Dispatcher) tellHome(ctx context.Context, c *Call, home, served settings.UpstreamID) {
	if c.Chat == 0 || home == "" || home == served {
		return
	}
	address, ok := d.View.Address(home)
	if !ok {
		return
	}
	l, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		return
	}
	_ = peer.Notify(ctx, l, &peer.ChatPlaced{Chat: c.Chat, Side: served})
}

// atHome runs a call that must run at most once at the one side that can vouch for it.
func (d *Dispatcher) atHome(ctx context.Context, c *Call, p *progress) Result {
	retries := 0
	for {
		home, ok := d.home(c)
		if !ok {
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeNoUpstream}
		}
		r := d.attempt(ctx, c, p, candidates.Step{Side: home})
		switch r.ending {
		case endDone:
			return Result{Outcome: peer.OutcomeDone, Side: home, Asks: 1}
		case endCaller:
			return callerGone(ctx)
		case endRefused:
			if r.refuse.Code != peer.RefuseNotPrimary || retries >= homeTries {
				return refusedAtHome(r.refuse)
			}
		}
		// Asking the same side again is safe: it runs a key once and repeats its recorded answer.
		limit := max(homeTries, c.Profile.Retries)
		if retries >= limit || !d.budget.Allow() {
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeUnreachable}
		}
		select {
		case <-time.After(rand.N(min(maxPause, firstPause<<retries)) + firstPause):
		case <-ctx.Done():
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeDeadline}
		}
		retries++
		p.restart()
	}
}

// home returns the side that a key or ticket belongs to.
func (d *Dispatcher) home(c *Call) (settings.UpstreamID, bool) {
	if c.Ticket != "" {
		claims, err := ticket.ParseUnverified(c.Ticket)
		return claims.Upstream, err == nil
	}
	return d.View.Declared(c.Profile.Service).Home(outcome.HashKey(c.Key))
}

// refusedAtHome is the result of a refused key: only the home's own word makes it not run.
func refusedAtHome(r *peer.Refuse) Result {
	result := Result{Outcome: peer.OutcomeUnknown, Code: string(r.Code), RetryAfter: r.RetryAfter, Asks: 1}
	if r.KeyNotRun {
		result.Outcome = peer.OutcomeNotRun
	}
	return result
}

// noticeLimit bounds the time spent on telling one side that it is leaving.
const noticeLimit = time.Second

// NotifyLeaving tells a side that the VM list shows it leaving, so that it refuses work from every router,
// also from those whose list is older.
func (d *Dispatcher) NotifyLeaving(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, noticeLimit)
	defer cancel()
	l, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		return
	}
	_ = peer.Notify(ctx, l, &peer.Leaving{})
}

// Issue gets a ticket from a side of the profile's service.
func (d *Dispatcher) Issue(ctx context.Context, name settings.ProfileName, p settings.Profile) (*peer.TicketIssued, error) {
	walk := candidates.New(d.View.Usable(p.Service), rand.Uint64(), "")
	var last error
	for {
		step, ok := walk.Next()
		if !ok {
			return nil, last
		}
		address, _ := d.View.Address(step.Side)
		l, err := d.Endpoint.Dial(ctx, address)
		if err != nil {
			d.View.Failed(step.Side)
			last = err
			continue
		}
		issued, err := peer.Ask[*peer.TicketIssued](ctx, l, &peer.IssueTicket{Profile: name}, queryLimit)
		if err == nil {
			return issued, nil
		}
		last = err
	}
}

// Serve takes a side's word that it leaves; it reports false for messages of other services.
func (d *Dispatcher) Serve(_ context.Context, st *peer.Stream, m peer.Message) bool {
	if _, ok := m.(*peer.Leaving); !ok {
		return false
	}
	d.View.Left(settings.UpstreamID(st.Link().Remote().ID))
	return true
}
