package sides

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// ending is how one attempt ended.
type ending int

const (
	// endDone is a whole answer.
	endDone ending = iota
	// endRefused is a side's word that the attempt was not run.
	endRefused
	// endUnreachable is a side to which no link could be made.
	endUnreachable
	// endNotSent is an attempt that the side has withdrawn unstarted.
	endNotSent
	// endCut is an answer that broke off, or whose side fell silent after it had started.
	endCut
	// endMoved is an answer that another side should go on with.
	endMoved
	// endCaller is a caller that no longer takes the answer.
	endCaller
	// endUnsure is a side that cannot be asked whether it started.
	endUnsure
)

// report is the end of an attempt with what the side said.
type report struct {
	ending ending
	refuse *peer.Refuse
	moved  settings.UpstreamID
	// started says that a moved call had been handed to the upstream.
	started bool
	err     error
}

// Errors of the order in which an answer arrives.
type orderError struct {
	want, got uint32
}

func (e *orderError) Error() string { return "chunk out of order" }

// attempt submits the call to one side and relays what comes.
func (d *Dispatcher) attempt(ctx context.Context, c *Call, p *progress, step candidates.Step) report {
	address, ok := d.View.Address(step.Side)
	if !ok {
		return report{ending: endUnreachable}
	}
	l, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		d.View.Failed(step.Side)
		return report{ending: endUnreachable, err: err}
	}
	if l.Remote().ID != string(step.Side) {
		return report{ending: endUnreachable, err: errors.Newf("%s is now %s", address, l.Remote().ID)}
	}
	p.attempt++
	m := d.submission(c, p, step)
	st, err := l.Open(ctx, m)
	if err != nil {
		// The link's queue may have taken the message although waiting for it failed.
		return d.settle(ctx, c, p, step, l, err)
	}
	defer st.Close()
	r := d.relay(ctx, c, p, st)
	switch r.ending {
	case endCaller:
		d.withdraw(st)
	case endUnsure:
		return d.settle(ctx, c, p, step, l, r.err)
	}
	return r
}

func (d *Dispatcher) submission(c *Call, p *progress, step candidates.Step) *peer.Submit {
	_, revision := d.View.Fleet()
	now := d.Clock.Now()
	return &peer.Submit{
		Request:       c.ID,
		Attempt:       p.attempt,
		Profile:       c.Name,
		Team:          c.Team,
		Chat:          c.Chat,
		Key:           c.Key,
		Ticket:        c.Ticket,
		Remaining:     c.Deadline.Sub(now),
		Sent:          now,
		Revision:      revision,
		Method:        c.Method,
		Path:          c.Path,
		Headers:       c.Headers,
		Body:          c.Body,
		PromptTokens:  c.PromptTokens + settings.Tokens(p.events),
		Resume:        p.text(),
		Offset:        p.events,
		Redirected:    step.Redirected || p.moves > 0,
		Moves:         p.moves,
		LastCandidate: step.LastCandidate,
		CacheOwner:    p.holder,
	}
}

// withdraw tells a side that nobody waits for the answer any more.
func (d *Dispatcher) withdraw(st *peer.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), queryLimit)
	defer cancel()
	_ = st.Send(ctx, &peer.Cancel{})
}

// relay passes the answer of one attempt on until it ends.
func (d *Dispatcher) relay(ctx context.Context, c *Call, p *progress, st *peer.Stream) report {
	var last uint32
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return d.lost(ctx, err)
		}
		switch v := m.(type) {
		case *peer.Accept:
			p.side = settings.UpstreamID(st.Link().Remote().ID)
		case *peer.Refuse:
			return refusedBy(v)
		case *peer.Head:
			err = p.head(v)
		case *peer.Chunk:
			if v.Attempt != p.attempt || v.Seq != last+1 {
				return report{ending: endCut, err: &orderError{want: last + 1, got: v.Seq}}
			}
			last = v.Seq
			err = p.chunk(v.Data, st.Pending() == 0)
		case *peer.End:
			return endOf(v, last)
		}
		if err != nil {
			return report{ending: endCaller, err: err}
		}
	}
}

// refusedBy tells a refusal from a request that was accepted and moves on before it has started.
func refusedBy(v *peer.Refuse) report {
	if v.Code == peer.RefuseHeldElsewhere && len(v.Next) > 0 {
		return report{ending: endMoved, moved: v.Next[0]}
	}
	return report{ending: endRefused, refuse: v}
}

// lost tells a caller that went away from a side that did.
func (d *Dispatcher) lost(ctx context.Context, err error) report {
	if ctx.Err() != nil {
		return report{ending: endCaller, err: ctx.Err()}
	}
	return report{ending: endUnsure, err: err}
}

func endOf(v *peer.End, last uint32) report {
	switch {
	case v.Moved != "":
		return report{ending: endMoved, moved: v.Moved, started: true}
	case v.Outcome == peer.OutcomeDone && v.Chunks == last:
		return report{ending: endDone}
	case v.Outcome == peer.OutcomeDone:
		return report{ending: endCut, err: &orderError{want: v.Chunks, got: last}}
	}
	return report{ending: endCut, err: errors.New(v.Reason)}
}

// Times of the question about a lost attempt.
const (
	queryLimit = 500 * time.Millisecond
	queryTries = 2
)

// settle asks the side over a new link whether a lost attempt has started, and forbids its start otherwise.
func (d *Dispatcher) settle(ctx context.Context, c *Call, p *progress, step candidates.Step, old *peer.Link, cause error) report {
	address, _ := d.View.Address(step.Side)
	for range queryTries {
		l, err := d.Endpoint.Redial(ctx, address, old)
		if err != nil {
			break
		}
		if l.Remote().Incarnation != old.Remote().Incarnation {
			break
		}
		q := &peer.AttemptQuery{Request: c.ID, Attempt: p.attempt, Remaining: c.Deadline.Sub(d.Clock.Now())}
		state, err := peer.Ask[*peer.AttemptState](ctx, l, q, queryLimit)
		if err != nil {
			old = l
			continue
		}
		if !state.Certain {
			break
		}
		if state.Started {
			return report{ending: endCut, err: cause}
		}
		return report{ending: endNotSent, err: cause}
	}
	d.View.Failed(step.Side)
	return report{ending: endUnsure, err: cause}
}
