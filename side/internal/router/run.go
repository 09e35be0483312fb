package router

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/side/internal/upstream"
)

// run hands a job to the upstream and passes the answer on.
func (d *Server) run(ctx context.Context, st *peer.Stream, j *job) {
	call, err := d.call(j)
	if err != nil || !d.handOver(j) {
		d.abandon(j)
		_ = st.Send(ctx, j.refusal(peer.RefuseCancelled))
		return
	}
	sink := &jobSink{door: d, job: j, ctx: ctx, stream: st}
	usage, err := d.Upstream.Run(j.ctx, call, sink)
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		d.abandon(j)
		d.Log.Warn("upstream unreachable", "request", j.submit.Request, "error", err)
		_ = st.Send(ctx, j.refusal(peer.RefuseUpstream))
		return
	}
	d.finish(j, usage, err)
	if j.record != nil && err == nil {
		sendRecorded(ctx, st, j.submit.Attempt, j.answer)
		return
	}
	_ = st.Send(ctx, d.end(j, err))
}

// sendRecorded sends an answer that is there as a whole.
func sendRecorded(ctx context.Context, st *peer.Stream, attempt peer.AttemptID, a outcome.Answer) {
	_ = st.Send(ctx, &peer.Head{Status: a.Status, Headers: a.Headers})
	chunks := uint32(0)
	if len(a.Body) > 0 {
		chunks = 1
		_ = st.Send(ctx, &peer.Chunk{Attempt: attempt, Seq: 1, Data: a.Body})
	}
	_ = st.Send(ctx, &peer.End{Attempt: attempt, Outcome: peer.OutcomeDone, Chunks: chunks})
}

// call builds the upstream request of a job.
func (d *Server) call(j *job) (upstream.Call, error) {
	d.mu.Lock()
	service := d.service
	d.mu.Unlock()
	m := j.submit
	call := upstream.Call{Method: m.Method, Path: m.Path, Headers: m.Headers, Body: m.Body}
	if service.Kind != settings.KindModel {
		return call, nil
	}
	body, err := upstream.ChatBody(m.Body, service.Model, m.Resume, m.Offset)
	call.Body = body
	call.Headers = append(call.Headers,
		peer.Header{Name: "X-Chat-Id", Value: strconv.FormatUint(m.Chat, 10)},
		peer.Header{Name: "X-Request-Priority", Value: string(j.profile.Priority)},
		peer.Header{Name: "X-Request-Id", Value: string(m.Request) + "." + strconv.Itoa(int(m.Attempt))},
	)
	return call, err
}

// handOver makes the last checks before the first byte goes to the upstream, in one step with noting the start.
func (d *Server) handOver(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if !now.Before(j.deadline) || j.stopped {
		return false
	}
	// The home of a key may have moved while the job waited.
	if j.record != nil && d.checkHome(j) != nil {
		return false
	}
	return d.attempts.Start(now, j.attempt(), j.deadline.Sub(now))
}

// finish records the result of a run.
func (d *Server) finish(j *job, usage upstream.Usage, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if usage.Known && err == nil {
		d.learn(j.submit.Profile, j.profile, usage.Answer+settings.Tokens(j.submit.Offset))
		d.remember(j, usage)
	}
	if j.record == nil {
		return
	}
	if err != nil {
		d.keys.MarkLost(now, j.record, d.service.KeyLifetime)
		return
	}
	d.keys.Finish(now, j.record, j.answer, d.service.KeyLifetime)
}

// remember notes which prefix the engine holds now; the caller holds the lock.
func (d *Server) remember(j *job, usage upstream.Usage) {
	if j.submit.Chat == 0 {
		return
	}
	d.admission.Prefixes.RecordStored(j.submit.Chat, usage.Prompt+usage.Answer)
	if home, ok := d.set.Home(j.submit.Chat); ok && home == d.Self {
		d.admission.CacheOwners.RecordServed(j.submit.Chat, d.Self)
	}
}

func (d *Server) end(j *job, err error) *peer.End {
	end := &peer.End{Attempt: j.submit.Attempt, Outcome: peer.OutcomeDone, Chunks: j.chunks.Load()}
	if err == nil {
		return end
	}
	end.Outcome = peer.OutcomeUnknown
	end.Reason = "answer cut"
	end.Moved = j.moveTo
	d.Log.Warn("answer cut", "request", j.submit.Request, "attempt", j.submit.Attempt, "error", err)
	return end
}

// repeat answers a submission whose key has run or is running already.
func (d *Server) repeat(ctx context.Context, st *peer.Stream, j *job, step outcome.Step) {
	switch step {
	case outcome.StepBodyDiffers:
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseKeyReused, KeyNotRun: true})
		return
	case outcome.StepWait:
		select {
		case <-j.record.Done():
		case <-j.ctx.Done():
		}
	}
	d.mu.Lock()
	state := j.record.State
	answer := j.record.Answer
	d.mu.Unlock()
	if state != outcome.StateDone {
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseResultLost})
		return
	}
	_ = st.Send(ctx, &peer.Accept{Replayed: true})
	sendRecorded(ctx, st, j.submit.Attempt, answer)
}

// jobSink passes a job's answer to the router and keeps what may be asked for again.
type jobSink struct {
	door   *Server
	job    *job
	ctx    context.Context
	stream *peer.Stream
}

// Head passes the status and header on.
func (s *jobSink) Head(status int, headers []peer.Header) error {
	s.job.answer.Status = status
	s.job.answer.Headers = headers
	if s.job.record != nil {
		return nil
	}
	return s.pass(&peer.Head{Status: status, Headers: headers})
}

// Chunk passes one piece on.
func (s *jobSink) Chunk(data []byte) error {
	j := s.job
	seq := j.chunks.Add(1)
	if seq == 1 {
		s.firstToken()
	}
	if j.record != nil {
		s.record(data)
		return nil
	}
	return s.pass(&peer.Chunk{Attempt: j.submit.Attempt, Seq: seq, Data: data})
}

// record keeps an answer that may be asked for again; it is sent when it is whole, so that a slow caller
// cannot hold up a run that must come to its end.
func (s *jobSink) record(data []byte) {
	if len(s.job.answer.Body) <= outcome.MaxAnswerBytes {
		s.job.answer.Body = append(s.job.answer.Body, data...)
	}
}

func (s *jobSink) firstToken() {
	s.door.mu.Lock()
	defer s.door.mu.Unlock()
	s.door.admission.FirstToken(&s.job.verdict)
	if m := s.job.submit; m.Chat != 0 {
		s.door.admission.Prefixes.RecordStored(m.Chat, m.PromptTokens)
	}
}

// pass sends a message to the router; a call that may not be repeated runs on when the router is gone.
func (s *jobSink) pass(m peer.Message) error {
	if s.job.sink == nil {
		s.job.sink = s.stream.Send(s.job.ctx, m)
	}
	if s.job.profile.Idempotent {
		return s.job.sink
	}
	return nil
}
