package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// submit admits, queues and runs one attempt, and sends its outcome.
func (s *Server) submit(ctx context.Context, st *peer.Stream, m *peer.Submit) {
	j := &job{submit: m, slot: make(chan struct{}), memory: s.Memory.Open()}
	// The lease ends with the job on each way out.
	defer j.memory.Close()
	remaining := m.Remaining - st.Link().Lateness(m.Sent)
	j.deadline = s.Clock.Now().Add(remaining)
	j.ctx, j.cancel = context.WithTimeout(context.WithoutCancel(ctx), remaining)
	defer j.cancel()

	step, refused := s.admitAttempt(j)
	if refused != nil {
		_ = st.Send(ctx, refused.message())
		return
	}
	if step != outcome.StepRun {
		s.answerRepeat(ctx, st, j, step)
		return
	}
	defer s.release(j)
	if st.Send(ctx, &peer.Accept{}) != nil {
		s.abandon(j)
		return
	}
	go s.watch(ctx, st, j)
	s.fetchPrefix(j)
	if !s.waitForSlot(j) {
		s.abandon(j)
		_ = st.Send(ctx, j.refuseMessage(peer.RefuseDeadline))
		return
	}
	s.run(ctx, st, j)
}

// refuseMessage returns the refusal of a job that was not run; for a moved job it names the side to try instead.
func (j *job) refuseMessage(code peer.RefuseCode) *peer.Refuse {
	r := &peer.Refuse{Code: code, KeyNotRun: true, RetryAfter: time.Second}
	if j.moveTo != "" {
		r.Code = peer.RefuseMoved
		r.Next = []settings.UpstreamID{j.moveTo}
	}
	return r
}

// bodyCopies is how often a submission's body is held: as received, for the upstream, and while its digest is computed.
const bodyCopies = 3

// reserveWithMemory reserves what a submission needs if there is memory for its body; the caller holds the lock.
func (s *Server) reserveWithMemory(j *job) (outcome.Step, *refusal) {
	size := int64(bodyCopies * (len(j.submit.Body) + len(j.submit.Resume)))
	if err := j.memory.Grow(s.Clock.Now(), size); err != nil {
		s.Scope.Counter("no_memory").Inc(1)
		s.Log.Warn("no memory for a submission", "request", j.submit.Request, "error", err)
		return 0, &refusal{code: peer.RefuseOverloaded, retryAfter: s.retryAfter(), load: s.admission.Load()}
	}
	return s.reserve(j)
}

// admitAttempt decides whether a submission may run. If so, it claims the key, counts the load and queues the job.
func (s *Server) admitAttempt(j *job) (outcome.Step, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !now.Before(j.deadline) {
		return 0, &refusal{code: peer.RefuseDeadline}
	}
	if s.attempts.Seen(j.attempt()) {
		return 0, &refusal{code: peer.RefuseWithdrawn}
	}
	step, refused := s.reserveWithMemory(j)
	if refused != nil {
		// The router may submit elsewhere after a refusal, so a delayed copy of this submission must not start.
		s.attempts.Withdraw(now, j.attempt(), j.deadline.Sub(now))
	}
	return step, refused
}

// reserve claims what a submission needs to run, or returns why it may not; the caller holds the lock.
func (s *Server) reserve(j *job) (outcome.Step, *refusal) {
	profile, ok := s.profile(j.submit.Profile)
	if !ok {
		return 0, &refusal{code: peer.RefuseUnknownProfile, retryAfter: time.Second}
	}
	j.profile = profile
	if j.key() != "" {
		if step, refused := s.claimKey(j); refused != nil || step != outcome.StepRun {
			return step, refused
		}
	}
	if refused := s.enqueue(j); refused != nil {
		if j.record != nil {
			s.keys.Undo(j.record)
			refused.keyNotRun = true
		}
		return 0, refused
	}
	if s.jobs == nil {
		s.jobs = make(map[*job]struct{})
	}
	s.jobs[j] = struct{}{}
	s.work.Add(1)
	s.startNext()
	s.signalMove()
	return outcome.StepRun, nil
}

// profile returns the profile of a submission if it is served here; the caller holds the lock.
func (s *Server) profile(name settings.ProfileName) (settings.Profile, bool) {
	if s.declarations == nil {
		return settings.Profile{}, false
	}
	p, ok := s.declarations.Profiles[name]
	return p, ok && p.Service == s.serviceName
}

// enqueue adds a job to the load and the queue; the caller holds the lock.
func (s *Server) enqueue(j *job) *refusal {
	now := s.Clock.Now()
	if s.isLeaving(now) {
		return &refusal{code: peer.RefuseLeaving, retryAfter: time.Second}
	}
	if s.service.Kind == settings.KindModel {
		if refused := s.admit(j); refused != nil {
			return refused
		}
	}
	j.item = &fairqueue.Item{
		Team:     j.submit.Team,
		Share:    s.declarations.Teams[j.submit.Team].Share,
		Priority: j.profile.Priority,
		Work:     max(1, j.decision.Charge),
		Deadline: j.deadline,
		Start:    func() { close(j.slot) },
	}
	if !s.scheduler.Push(now, j.item) {
		s.admission.Release(&j.decision)
		return &refusal{code: peer.RefuseOverloaded, retryAfter: s.retryAfter(), load: s.admission.Load()}
	}
	return nil
}

// admit submits a job to the admission controller; the caller holds the lock.
func (s *Server) admit(j *job) *refusal {
	m := j.submit
	primary, _ := s.upstreamSet.Primary(m.Chat)
	request := admission.Request{
		Chat:          m.Chat,
		PromptTokens:  m.PromptTokens,
		DecodeTokens:  s.expectedAnswer(m.Profile, j.profile),
		IsPrimary:     primary == s.Self,
		Redirected:    m.Redirected,
		Moved:         m.Moves > 0,
		LastCandidate: m.LastCandidate,
		CacheOwner:    m.CacheOwner,
	}
	j.decision = s.admission.Decide(s.Clock.Now(), request)
	if j.decision.Admitted {
		return nil
	}
	r := &refusal{
		code:       peer.RefuseOverloaded,
		retryAfter: s.retryAfter(),
		load:       s.admission.Load(),
		cacheOwner: j.decision.CacheOwner,
	}
	for _, side := range j.decision.Next {
		if side != "" {
			r.next = append(r.next, side)
		}
	}
	return r
}

// claimKey looks up a key or ticket and claims its single run; the caller holds the lock.
func (s *Server) claimKey(j *job) (outcome.Step, *refusal) {
	now := s.Clock.Now()
	if refused := s.checkPrimary(j); refused != nil {
		return 0, refused
	}
	bodyDigest := xxhash.Sum64(append([]byte(j.submit.Method+" "+j.submit.Path+"\n"), j.submit.Body...))
	r, step := s.keys.Lookup(j.key(), bodyDigest)
	if step != outcome.StepRun {
		j.record = r
		return step, nil
	}
	if refused := s.confirmNoEarlierRun(j); refused != nil {
		return 0, refused
	}
	j.record, step = s.keys.Begin(now, j.key(), bodyDigest, s.service.KeyLifetime)
	if step == outcome.StepTableFull {
		return 0, &refusal{code: peer.RefuseTableFull, keyNotRun: true, retryAfter: time.Second}
	}
	return step, nil
}

// checkPrimary refuses a key of another primary, and a ticket that is not valid here; the caller holds the lock.
func (s *Server) checkPrimary(j *job) *refusal {
	if j.submit.Ticket != "" {
		err := s.Issuer.Check(s.Clock.Now(), j.submit.Ticket, s.service.KeyLifetime)
		if err != nil {
			return &refusal{code: peer.RefuseTicketInvalid}
		}
		return nil
	}
	if primary, ok := s.primaries.Primary(j.submit.Key); !ok || primary != s.Self {
		return &refusal{code: peer.RefuseNotPrimary, retryAfter: time.Second}
	}
	return nil
}

// confirmNoEarlierRun refuses a key of which an earlier run cannot be ruled out; the caller holds the lock.
func (s *Server) confirmNoEarlierRun(j *job) *refusal {
	if j.submit.Ticket != "" {
		return nil
	}
	now := s.Clock.Now()
	if s.primaries.Confirm(now, j.submit.Key) != outcome.Confirmed {
		return &refusal{code: peer.RefuseUnconfirmed, retryAfter: s.primaries.TimeToConfirm(now)}
	}
	return nil
}

// watch stops the job when the router cancels it or disconnects, unless it must run to its end.
func (s *Server) watch(ctx context.Context, st *peer.Stream, j *job) {
	_, err := st.Receive(j.ctx)
	if j.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && ctx.Err() == nil && !j.profile.Idempotent {
		// The router has disconnected, but a call that may not be repeated continues.
		return
	}
	if !j.profile.Idempotent && j.item.Started() {
		return
	}
	j.stop()
}

// waitForSlot reports whether the job got a slot before its deadline or its cancellation.
func (s *Server) waitForSlot(j *job) bool {
	select {
	case <-j.slot:
		return true
	case <-j.ctx.Done():
		return false
	}
}

// abandon removes the key of a job of which nothing was sent to the upstream, and forbids its start.
func (s *Server) abandon(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.record != nil {
		s.keys.Undo(j.record)
		j.record = nil
	}
	now := s.Clock.Now()
	s.attempts.Withdraw(now, j.attempt(), j.deadline.Sub(now))
}

// release frees the load and the slot of a job.
func (s *Server) release(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Release(&j.decision)
	s.scheduler.Done(s.Clock.Now(), j.item)
	delete(s.jobs, j)
	s.startNext()
	s.work.Done()
}
