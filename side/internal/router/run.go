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

// run sends a job to the upstream and forwards the answer.
func (s *Server) run(ctx context.Context, st *peer.Stream, j *job) {
	call, err := s.call(j)
	if err != nil || !s.markStarted(j) {
		s.abandon(j)
		_ = st.Send(ctx, j.refuseMessage(peer.RefuseWithdrawn))
		return
	}
	sink := &jobSink{server: s, job: j, ctx: ctx, stream: st}
	usage, err := s.Upstream.Run(j.ctx, call, sink)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		s.abandon(j)
		s.Log.Warn("upstream unreachable", "request", j.submit.Request, "error", err)
		_ = st.Send(ctx, j.refuseMessage(peer.RefuseUpstreamUnreachable))
		return
	}
	s.recordResult(j, usage, err)
	if j.record != nil && err == nil {
		sendRecorded(ctx, st, j.submit.Attempt, j.answer)
		return
	}
	_ = st.Send(ctx, s.endMessage(j, err))
}

// sendRecorded sends a complete recorded answer.
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
func (s *Server) call(j *job) (upstream.Call, error) {
	s.mu.Lock()
	service := s.service
	s.mu.Unlock()
	m := j.submit
	call := upstream.Call{Method: m.Method, Path: m.Path, Headers: m.Headers, Body: m.Body, Memory: j.memory}
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

// markStarted makes the last checks before the first byte is sent to the upstream, and records the start under the same
// lock, so that no withdrawal comes between.
func (s *Server) markStarted(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !now.Before(j.deadline) || j.stopped {
		return false
	}
	// The primary of a key may have changed while the job waited.
	if j.record != nil && s.checkPrimary(j) != nil {
		return false
	}
	return s.attempts.Start(now, j.attempt(), j.deadline.Sub(now))
}

// recordResult records the result of a run.
func (s *Server) recordResult(j *job, usage upstream.Usage, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if usage.Known && err == nil {
		s.recordAnswerLength(j.submit.Profile, j.profile, usage.Answer+settings.Tokens(j.submit.Offset))
		s.recordPrefix(j, usage)
	}
	if j.record == nil {
		return
	}
	if err != nil {
		s.keys.MarkLost(now, j.record, s.service.KeyLifetime)
		return
	}
	s.keys.Finish(now, j.record, j.answer, s.service.KeyLifetime)
}

// recordPrefix records the prefix that the engine has cached; the caller holds the lock.
func (s *Server) recordPrefix(j *job, usage upstream.Usage) {
	if j.submit.Chat == 0 {
		return
	}
	s.admission.Prefixes.RecordStored(j.submit.Chat, usage.Prompt+usage.Answer)
	if primary, ok := s.upstreamSet.Primary(j.submit.Chat); ok && primary == s.Self {
		s.admission.CacheOwners.RecordServed(j.submit.Chat, s.Self)
	}
}

func (s *Server) endMessage(j *job, err error) *peer.End {
	end := &peer.End{Attempt: j.submit.Attempt, Outcome: peer.OutcomeDone, Chunks: j.chunks.Load()}
	if err == nil {
		return end
	}
	end.Outcome = peer.OutcomeUnknown
	end.Reason = "answer cut"
	end.MovedTo = j.moveTo
	s.Log.Warn("answer cut", "request", j.submit.Request, "attempt", j.submit.Attempt, "error", err)
	return end
}

// answerRepeat answers a submission whose key has run or is running already.
func (s *Server) answerRepeat(ctx context.Context, st *peer.Stream, j *job, step outcome.Step) {
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
	s.mu.Lock()
	state := j.record.State
	answer := j.record.Answer
	s.mu.Unlock()
	if state != outcome.StateDone {
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseResultLost})
		return
	}
	_ = st.Send(ctx, &peer.Accept{Replayed: true})
	sendRecorded(ctx, st, j.submit.Attempt, answer)
}

// jobSink forwards a job's answer to the router, or records it if it may be requested again.
type jobSink struct {
	server *Server
	job    *job
	ctx    context.Context
	stream *peer.Stream
}

// Head forwards or records the status and the header.
func (s *jobSink) Head(status int, headers []peer.Header) error {
	s.job.answer.Status = status
	s.job.answer.Headers = headers
	if s.job.record != nil {
		return nil
	}
	return s.forward(&peer.Head{Status: status, Headers: headers})
}

// Chunk forwards or records one chunk.
func (s *jobSink) Chunk(data []byte) error {
	j := s.job
	seq := j.chunks.Add(1)
	if seq == 1 {
		s.firstToken()
	}
	if j.record != nil {
		s.recordChunk(data)
		return nil
	}
	return s.forward(&peer.Chunk{Attempt: j.submit.Attempt, Seq: seq, Data: data})
}

// recordChunk appends to a recorded answer. The answer is sent only when it is complete, so that a slow caller cannot
// delay a run that must not be cut short.
func (s *jobSink) recordChunk(data []byte) {
	if len(s.job.answer.Body) <= outcome.MaxAnswerBytes {
		s.job.answer.Body = append(s.job.answer.Body, data...)
	}
}

func (s *jobSink) firstToken() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.admission.RecordFirstToken(&s.job.decision)
	if m := s.job.submit; m.Chat != 0 {
		s.server.admission.Prefixes.RecordStored(m.Chat, m.PromptTokens)
	}
}

// forward sends a message to the router; a call that may not be repeated continues when the router has disconnected.
func (s *jobSink) forward(m peer.Message) error {
	if s.job.sinkErr == nil {
		s.job.sinkErr = s.stream.Send(s.job.ctx, m)
	}
	if s.job.profile.Idempotent {
		return s.job.sinkErr
	}
	return nil
}
