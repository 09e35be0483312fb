package sides

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// ending classifies how one attempt ended.
type ending int

const (
	// endDone means that the complete answer was received.
	endDone ending = iota
	// endRefused means that the side refused the attempt and did not run it.
	endRefused
	// endUnreachable means that the side did not receive the attempt, since there was no link or the side ended it first.
	endUnreachable
	// endNotStarted means that the side confirmed that the attempt was not started and will not be.
	endNotStarted
	// endInterrupted means that the attempt was started and its answer is incomplete.
	endInterrupted
	// endMoved means that another side should continue the answer.
	endMoved
	// endCallerGone means that the context ended or the answer could not be passed on.
	endCallerGone
	// endUnknown means that the side did not report whether the attempt was started.
	endUnknown
	// endNoMemory means that there was no memory to send the attempt, or to keep its answer if it was started.
	endNoMemory
)

func (e ending) String() string {
	return [...]string{"done", "refused", "unreachable", "not_started", "interrupted", "moved", "caller_gone", "unknown", "no_memory"}[e]
}

// attemptResult is how an attempt ended, with the details that the side reported.
type attemptResult struct {
	ending  ending
	refusal *peer.Refuse
	// next is the side that should continue a moved call; started reports whether the old side's upstream already had it, or whether an
	// attempt without memory was started.
	next    settings.UpstreamID
	started bool
	err     error
}

// sequenceError reports a chunk that is missing or out of order.
type sequenceError struct {
	want, got uint32
}

func (e *sequenceError) Error() string { return "chunk out of order" }

// NoHeadError reports an answer of a side that has no status.
type NoHeadError struct{}

func (e *NoHeadError) Error() string { return "answer without a status" }

// attempt submits the call to one side, relays the answer, and logs the error of an attempt that failed.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, prog *progress, step candidates.Step) attemptResult {
	res := d.submit(ctx, call, prog, step)
	if res.err != nil {
		d.Log.Warn("attempt failed", "request", call.ID, "attempt", prog.attempt, "upstream", step.Side, "ending", res.ending,
			"error", res.err)
	}
	return res
}

// submit does the work of attempt.
func (d *Dispatcher) submit(ctx context.Context, call *Call, prog *progress, step candidates.Step) attemptResult {
	address, ok := d.View.Address(step.Side)
	if !ok {
		return attemptResult{ending: endUnreachable}
	}
	link, err := d.Endpoint.Dial(ctx, address)
	if err != nil {
		d.View.RecordFailure(step.Side)
		return attemptResult{ending: endUnreachable, err: err}
	}
	if link.Remote().ID != string(step.Side) {
		return attemptResult{ending: endUnreachable, err: errors.Newf("%s is now %s", address, link.Remote().ID)}
	}
	prog.attempt++
	st, err := d.open(ctx, call, link, d.newSubmit(call, prog, step))
	var full *memorybudget.FullError
	if errors.As(err, &full) {
		return attemptResult{ending: endNoMemory, err: err}
	}
	var retired *peer.RetiredError
	if errors.As(err, &retired) || isUnreceived(err) {
		return attemptResult{ending: endUnreachable, err: err}
	}
	if err != nil {
		// The message may already be in the link's queue although Open failed.
		return d.resolveLost(ctx, call, prog, step, link, err)
	}
	defer st.Close()
	res := d.relay(ctx, call, prog, st)
	switch res.ending {
	case endCallerGone, endNoMemory:
		d.cancel(st)
	case endUnknown:
		return d.resolveLost(ctx, call, prog, step, link, res.err)
	}
	return res
}

// isUnreceived reports whether an error means that the side has not received the attempt and will not.
func isUnreceived(err error) bool {
	var unreceived *peer.NotReceivedError
	return errors.As(err, &unreceived)
}

// frameCopies is how often a body is held beside itself until it is written: in a frame, and in the compressed frame.
const frameCopies = 2

// open opens the stream of an attempt. A large body takes memory until the link has written it, also if the caller goes before.
func (d *Dispatcher) open(ctx context.Context, call *Call, link *peer.Link, m *peer.Submit) (*peer.Stream, error) {
	if len(m.Body) <= memorybudget.SmallBytes {
		return link.Open(ctx, m)
	}
	size := int64(frameCopies * len(m.Body))
	if err := call.Memory.Grow(d.Clock.Now(), size); err != nil {
		return nil, err
	}
	st, written, err := link.OpenLarge(ctx, m)
	if err != nil {
		call.Memory.Shrink(size)
		return nil, err
	}
	call.Memory.Retain()
	go func() {
		defer call.Memory.Close()
		select {
		case <-written:
		case <-link.Done():
		}
		call.Memory.Shrink(size)
	}()
	return st, nil
}

// newSubmit returns the message for the next attempt; it includes the part of the answer that the caller already has.
func (d *Dispatcher) newSubmit(call *Call, prog *progress, step candidates.Step) *peer.Submit {
	_, revision := d.View.Declarations()
	now := d.Clock.Now()
	return &peer.Submit{
		Request:       call.ID,
		Attempt:       prog.attempt,
		Profile:       call.ProfileName,
		Team:          call.Team,
		Chat:          call.Chat,
		Key:           call.Key,
		Ticket:        call.Ticket,
		Remaining:     call.Deadline.Sub(now),
		Sent:          now,
		Revision:      revision,
		Method:        call.Method,
		Path:          call.Path,
		Headers:       call.Headers,
		Body:          call.Body,
		PromptTokens:  call.PromptTokens + settings.Tokens(prog.answerTokens),
		Resume:        prog.answerText(),
		Offset:        prog.answerTokens,
		Redirected:    step.Redirected || prog.moves > 0,
		Moves:         prog.moves,
		LastCandidate: step.LastCandidate,
		CacheOwner:    prog.cacheOwner,
	}
}

// cancel notifies a side that the answer is no longer needed.
func (d *Dispatcher) cancel(st *peer.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	_ = st.Send(ctx, &peer.Cancel{})
}

// relay passes the answer of one attempt to the caller until the attempt ends.
func (d *Dispatcher) relay(ctx context.Context, call *Call, prog *progress, st *peer.Stream) attemptResult {
	var last uint32
	hasHead := false
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return d.receiveFailed(ctx, err)
		}
		switch v := m.(type) {
		case *peer.Accept:
			prog.side = settings.UpstreamID(st.Link().Remote().ID)
		case *peer.Refuse:
			return refusalResult(v)
		case *peer.Head:
			if err := prog.setHead(v); err != nil {
				return attemptResult{ending: endInterrupted, err: err}
			}
			hasHead = true
		case *peer.Chunk:
			if !hasHead {
				return attemptResult{ending: endInterrupted, err: &NoHeadError{}}
			}
			if v.Attempt != prog.attempt || v.Seq != last+1 {
				return attemptResult{ending: endInterrupted, err: &sequenceError{want: last + 1, got: v.Seq}}
			}
			last = v.Seq
			err = prog.writeChunk(v.Data, st.Pending() == 0)
		case *peer.End:
			res := endResult(v, last)
			if res.ending == endDone && !hasHead {
				return attemptResult{ending: endInterrupted, err: &NoHeadError{}}
			}
			return res
		}
		var full *memorybudget.FullError
		if errors.As(err, &full) {
			return attemptResult{ending: endNoMemory, started: true, err: err}
		}
		if err != nil {
			return attemptResult{ending: endCallerGone, err: err}
		}
	}
}

// refusalResult returns the result of a refusal. A call that the side accepted and moved away before its start counts as
// moved, not as refused.
func refusalResult(refusal *peer.Refuse) attemptResult {
	if refusal.Code == peer.RefuseMoved && len(refusal.Next) > 0 {
		return attemptResult{ending: endMoved, next: refusal.Next[0]}
	}
	return attemptResult{ending: endRefused, refusal: refusal}
}

// receiveFailed returns the result of a failed receive: the call's own context ended, or the link to the side was lost.
func (d *Dispatcher) receiveFailed(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{ending: endCallerGone, err: ctx.Err()}
	}
	if isUnreceived(err) {
		return attemptResult{ending: endUnreachable, err: err}
	}
	return attemptResult{ending: endUnknown, err: err}
}

// endResult returns the result of an End message; last is the number of the last chunk received.
func endResult(end *peer.End, last uint32) attemptResult {
	switch {
	case end.MovedTo != "":
		return attemptResult{ending: endMoved, next: end.MovedTo, started: true}
	case end.Outcome == peer.OutcomeDone && end.Chunks == last:
		return attemptResult{ending: endDone}
	case end.Outcome == peer.OutcomeDone:
		return attemptResult{ending: endInterrupted, err: &sequenceError{want: end.Chunks, got: last}}
	}
	return attemptResult{ending: endInterrupted, err: errors.New(end.Reason)}
}

// Limits on the queries about a lost attempt.
const (
	queryTimeout = 500 * time.Millisecond
	maxQueries   = 2
)

// resolveLost asks the side over a new link whether a lost attempt was started. The query also forbids a later start.
// The result is unknown if the side cannot be reached, has restarted or is not certain.
func (d *Dispatcher) resolveLost(ctx context.Context, call *Call, prog *progress, step candidates.Step, oldLink *peer.Link, cause error) attemptResult {
	address, _ := d.View.Address(step.Side)
	for range maxQueries {
		link, err := d.Endpoint.Redial(ctx, address, oldLink)
		if err != nil {
			break
		}
		if link.Remote().Incarnation != oldLink.Remote().Incarnation {
			break
		}
		query := &peer.AttemptQuery{Request: call.ID, Attempt: prog.attempt, Remaining: call.Deadline.Sub(d.Clock.Now())}
		state, err := peer.Request[*peer.AttemptState](ctx, link, query, queryTimeout)
		if err != nil {
			oldLink = link
			continue
		}
		if !state.Certain {
			break
		}
		if state.Started {
			return attemptResult{ending: endInterrupted, err: cause}
		}
		return attemptResult{ending: endNotStarted, err: cause}
	}
	d.View.RecordFailure(step.Side)
	return attemptResult{ending: endUnknown, err: cause}
}
