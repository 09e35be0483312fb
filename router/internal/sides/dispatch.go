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

// Limits on attempts.
const (
	// firstRetryPause and maxRetryPause are the first and the largest upper bound of the random pause before a retry. The
	// bound doubles with each retry.
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = time.Second
	// maxPrimaryRetries is the retry limit of a call with a key or ticket, unless its profile allows more retries. It also
	// bounds the retries after refusals by a side that is not the primary.
	maxPrimaryRetries = 3
	// refusalGrace extends the deadline so that a side's refusal at the deadline still arrives. The refusal proves that
	// nothing was run.
	refusalGrace = 100 * time.Millisecond
	// defaultRetryAfter is when the caller may retry if no side gave a time.
	defaultRetryAfter = time.Second
)

// Dispatcher sends calls to sides.
type Dispatcher struct {
	View     *View
	Endpoint *peer.Endpoint
	Clock    Clock
	Log      *log.Logger
	Scope    tally.Scope

	budget retry.Budget
}

// Do runs one call, writes its answer to sink and returns the call's final result.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(d.Clock.Now())+refusalGrace)
	defer cancel()
	d.budget.RecordFirstAttempt()
	prog := &progress{sink: sink, stream: call.Stream, memory: call.Memory, clock: d.Clock}
	result := d.dispatch(ctx, call, prog)
	if result.Outcome == peer.OutcomeDone {
		if err := prog.finish(); err != nil {
			result.Code = CodeCallerGone
		}
	}
	result.Attempts = int(prog.attempt)
	if result.Outcome != peer.OutcomeDone && result.RetryAfter <= 0 {
		result.RetryAfter = defaultRetryAfter
	}
	d.Scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("calls").Inc(1)
	return result
}

func (d *Dispatcher) dispatch(ctx context.Context, call *Call, prog *progress) Result {
	if call.Key != "" || call.Ticket != "" {
		return d.runAtPrimary(ctx, call, prog)
	}
	return d.runAnywhere(ctx, call, prog)
}

// runAnywhere runs a call without key or ticket at any side that accepts it.
func (d *Dispatcher) runAnywhere(ctx context.Context, call *Call, prog *progress) Result {
	s := &search{dispatcher: d, call: call, progress: prog, order: d.newOrder(call, call.Hint)}
	for {
		step, ok := s.order.Next()
		if !ok {
			if result, stop := s.handleExhausted(ctx); stop {
				return result
			}
			continue
		}
		if result, stop := s.handleResult(ctx, step, d.attempt(ctx, call, prog, step)); stop {
			return result
		}
	}
}

// newOrder returns a new candidate order for a call; hint is tried first if it is usable.
func (d *Dispatcher) newOrder(call *Call, hint settings.UpstreamID) candidates.Order {
	key := call.Chat
	if key == 0 {
		// A call that is not a chat has no cached prompt to return to, so a random key distributes it over the sides.
		key = rand.Uint64()
	}
	return candidates.New(d.View.Usable(call.Profile.Service), key, hint)
}

// recordRefusal updates the view if the refusal is about the state of the side and not about the call.
func (d *Dispatcher) recordRefusal(side settings.UpstreamID, refusal *peer.Refuse) {
	switch refusal.Code {
	case peer.RefuseLeaving:
		d.View.RecordLeaving(side)
	case peer.RefuseUpstreamUnreachable:
		d.View.RecordFailure(side)
	}
}

// notifyPrimary sends a chat's primary the side that served the chat. It does nothing if the primary served it itself.
func (d *Dispatcher) notifyPrimary(ctx context.Context, call *Call, primary, served settings.UpstreamID) {
	if call.Chat == 0 || primary == "" || primary == served {
		return
	}
	address, ok := d.View.Address(primary)
	if !ok {
		return
	}
	link, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		return
	}
	_ = peer.Notify(ctx, link, &peer.ChatServed{Chat: call.Chat, Side: served})
}

// runAtPrimary runs a call with a key or ticket, which must run at most once. Only the primary of the key, or the side
// that issued the ticket, can confirm that it has no earlier run.
func (d *Dispatcher) runAtPrimary(ctx context.Context, call *Call, prog *progress) Result {
	retries := 0
	for {
		primary, ok := d.primary(call)
		if !ok {
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeNoUpstream}
		}
		res := d.attempt(ctx, call, prog, candidates.Step{Side: primary})
		switch res.ending {
		case endDone:
			return Result{Outcome: peer.OutcomeDone, Side: primary, Requests: 1}
		case endCallerGone:
			return callerGoneResult(ctx)
		case endNoMemory:
			// An earlier run of the key cannot be ruled out here.
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeNoMemory}
		case endRefused:
			if res.refusal.Code != peer.RefuseNotPrimary || retries >= maxPrimaryRetries {
				return primaryRefusal(res.refusal)
			}
		}
		// A retry at the same side is safe: the side runs a key once and then returns the recorded answer.
		maxRetries := max(maxPrimaryRetries, call.Profile.Retries)
		if retries >= maxRetries || !d.budget.Allow() {
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeUnreachable}
		}
		select {
		case <-time.After(rand.N(min(maxRetryPause, firstRetryPause<<retries)) + firstRetryPause):
		case <-ctx.Done():
			return Result{Outcome: peer.OutcomeUnknown, Code: CodeDeadline}
		}
		retries++
		d.Scope.Counter("retries").Inc(1)
		prog.discardUnsent()
	}
}

// primary returns the side that issued the call's ticket, or the primary of its key.
func (d *Dispatcher) primary(call *Call) (settings.UpstreamID, bool) {
	if call.Ticket != "" {
		claims, err := ticket.ParseUnverified(call.Ticket)
		return claims.Upstream, err == nil
	}
	return d.View.Declared(call.Profile.Service).Primary(outcome.HashKey(call.Key))
}

// primaryRefusal returns the result of a refused call with a key or ticket. The outcome is "not run" only if the side
// confirms that no run was ever started.
func primaryRefusal(refusal *peer.Refuse) Result {
	result := Result{Outcome: peer.OutcomeUnknown, Code: string(refusal.Code), RetryAfter: refusal.RetryAfter, Requests: 1}
	if refusal.KeyNotRun {
		result.Outcome = peer.OutcomeNotRun
	}
	return result
}

// noticeTimeout bounds the notification of one side that it is leaving.
const noticeTimeout = time.Second

// NotifyLeaving notifies a side that the VM list shows it as leaving. The side then refuses work from every router,
// including routers with an older list.
func (d *Dispatcher) NotifyLeaving(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	link, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		return
	}
	_ = peer.Notify(ctx, link, &peer.Leaving{})
}

// IssueTicket requests a ticket from a usable side of the profile's service. Ticket and error are nil if the service has no
// declared side.
func (d *Dispatcher) IssueTicket(ctx context.Context, name settings.ProfileName, profile settings.Profile) (*peer.TicketIssued, error) {
	order := candidates.New(d.View.Usable(profile.Service), rand.Uint64(), "")
	var lastErr error
	for {
		step, ok := order.Next()
		if !ok {
			return nil, lastErr
		}
		address, _ := d.View.Address(step.Side)
		link, err := d.Endpoint.Dial(ctx, address)
		if err != nil {
			d.View.RecordFailure(step.Side)
			lastErr = err
			continue
		}
		issued, err := peer.Request[*peer.TicketIssued](ctx, link, &peer.IssueTicket{Profile: name}, queryTimeout)
		if err == nil {
			return issued, nil
		}
		lastErr = err
	}
}

// Serve handles the message of a side that it is leaving; it returns false for messages of other services.
func (d *Dispatcher) Serve(_ context.Context, st *peer.Stream, m peer.Message) bool {
	if _, ok := m.(*peer.Leaving); !ok {
		return false
	}
	d.View.RecordLeaving(settings.UpstreamID(st.Link().Remote().ID))
	st.Link().Retire()
	return true
}
