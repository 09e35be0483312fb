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

// submit takes one attempt through the door.
func (d *Server) submit(ctx context.Context, st *peer.Stream, m *peer.Submit) {
	j := &job{submit: m, slot: make(chan struct{})}
	left := m.Remaining - st.Link().Lateness(m.Sent)
	j.deadline = d.Clock.Now().Add(left)
	j.ctx, j.cancel = context.WithTimeout(context.WithoutCancel(ctx), left)
	defer j.cancel()

	step, refused := d.enter(j)
	if refused != nil {
		_ = st.Send(ctx, refused.message())
		return
	}
	if step != outcome.StepRun {
		d.repeat(ctx, st, j, step)
		return
	}
	defer d.leave(j)
	if st.Send(ctx, &peer.Accept{}) != nil {
		d.abandon(j)
		return
	}
	go d.watch(ctx, st, j)
	d.fetchPrefix(j)
	if !d.waitForSlot(j) {
		d.abandon(j)
		_ = st.Send(ctx, j.refusal(peer.RefuseDeadline))
		return
	}
	d.run(ctx, st, j)
}

// refusal says why a job was not run, or where it goes on if it was moved before it started.
func (j *job) refusal(code peer.RefuseCode) *peer.Refuse {
	r := &peer.Refuse{Code: code, KeyNotRun: true, RetryAfter: time.Second}
	if j.moveTo != "" {
		r.Code = peer.RefuseHeldElsewhere
		r.Next = []settings.UpstreamID{j.moveTo}
	}
	return r
}

// enter decides on a submission; it takes the load, a place in the queue and the key for one that may run.
func (d *Server) enter(j *job) (outcome.Step, *refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if !now.Before(j.deadline) {
		return 0, &refusal{code: peer.RefuseDeadline}
	}
	if d.attempts.Seen(j.attempt()) {
		return 0, &refusal{code: peer.RefuseCancelled}
	}
	step, refused := d.decide(j)
	if refused != nil {
		// Whoever hears the refusal may rely on it, so a copy of the submission must not start later.
		d.attempts.Withdraw(now, j.attempt(), j.deadline.Sub(now))
	}
	return step, refused
}

// decide takes what a submission needs to run, or says why it may not; the caller holds the lock.
func (d *Server) decide(j *job) (outcome.Step, *refusal) {
	profile, ok := d.profile(j.submit.Profile)
	if !ok {
		return 0, &refusal{code: peer.RefuseProfile, retryAfter: time.Second}
	}
	j.profile = profile
	if j.key() != "" {
		if step, refused := d.enterKey(j); refused != nil || step != outcome.StepRun {
			return step, refused
		}
	}
	if refused := d.enterQueue(j); refused != nil {
		if j.record != nil {
			d.keys.Undo(j.record)
			refused.keyNotRun = true
		}
		return 0, refused
	}
	if d.jobs == nil {
		d.jobs = make(map[*job]struct{})
	}
	d.jobs[j] = struct{}{}
	d.work.Add(1)
	d.startNext()
	d.wakeShed()
	return outcome.StepRun, nil
}

// profile returns the profile of a submission if it is served here; the caller holds the lock.
func (d *Server) profile(name settings.ProfileName) (settings.Profile, bool) {
	if d.fleet == nil {
		return settings.Profile{}, false
	}
	p, ok := d.fleet.Profiles[name]
	return p, ok && p.Service == d.name
}

// enterQueue admits a job to the load and the queue; the caller holds the lock.
func (d *Server) enterQueue(j *job) *refusal {
	now := d.Clock.Now()
	if d.isLeaving(now) {
		return &refusal{code: peer.RefuseLeaving, retryAfter: time.Second}
	}
	if d.service.Kind == settings.KindModel {
		if refused := d.admit(j); refused != nil {
			return refused
		}
	}
	j.item = &fairqueue.Item{
		Team:     j.submit.Team,
		Share:    d.fleet.Teams[j.submit.Team].Share,
		Priority: j.profile.Priority,
		Work:     max(1, j.verdict.Charge),
		Deadline: j.deadline,
		Start:    func() { close(j.slot) },
	}
	if !d.scheduler.Push(now, j.item) {
		d.admission.Release(&j.verdict)
		return &refusal{code: peer.RefuseOverloaded, retryAfter: d.retryAfter(), load: d.admission.Load()}
	}
	return nil
}

// admit asks the admission controller; the caller holds the lock.
func (d *Server) admit(j *job) *refusal {
	m := j.submit
	home, _ := d.set.Home(m.Chat)
	ask := admission.Request{
		Chat:          m.Chat,
		PromptTokens:  m.PromptTokens,
		DecodeTokens:  d.decodeGuess(m.Profile, j.profile),
		IsPrimary:     home == d.Self,
		Redirected:    m.Redirected,
		Moved:         m.Moves > 0,
		LastCandidate: m.LastCandidate,
		CacheOwner:    m.CacheOwner,
	}
	j.verdict = d.admission.Decide(d.Clock.Now(), ask)
	if j.verdict.Admitted {
		return nil
	}
	r := &refusal{code: peer.RefuseOverloaded, retryAfter: d.retryAfter(), load: d.admission.Load(), holder: j.verdict.CacheOwner}
	for _, side := range j.verdict.Next {
		if side != "" {
			r.next = append(r.next, side)
		}
	}
	return r
}

// enterKey looks a key or ticket up and claims its one run; the caller holds the lock.
func (d *Server) enterKey(j *job) (outcome.Step, *refusal) {
	now := d.Clock.Now()
	if refused := d.checkHome(j); refused != nil {
		return 0, refused
	}
	body := xxhash.Sum64(append([]byte(j.submit.Method+" "+j.submit.Path+"\n"), j.submit.Body...))
	r, step := d.keys.Lookup(j.key(), body)
	if step != outcome.StepRun {
		j.record = r
		return step, nil
	}
	if refused := d.vouch(j); refused != nil {
		return 0, refused
	}
	j.record, step = d.keys.Begin(now, j.key(), body, d.service.KeyLifetime)
	if step == outcome.StepTableFull {
		return 0, &refusal{code: peer.RefuseTableFull, keyNotRun: true, retryAfter: time.Second}
	}
	return step, nil
}

// checkHome refuses keys and tickets that belong elsewhere; the caller holds the lock.
func (d *Server) checkHome(j *job) *refusal {
	if j.submit.Ticket != "" {
		err := d.Issuer.Check(d.Clock.Now(), j.submit.Ticket, d.service.KeyLifetime)
		if err != nil {
			return &refusal{code: peer.RefuseTicket}
		}
		return nil
	}
	if home, ok := d.homes.Primary(j.submit.Key); !ok || home != d.Self {
		return &refusal{code: peer.RefuseNotPrimary, retryAfter: time.Second}
	}
	return nil
}

// vouch refuses a key whose earlier run cannot be ruled out; the caller holds the lock.
func (d *Server) vouch(j *job) *refusal {
	if j.submit.Ticket != "" {
		return nil
	}
	now := d.Clock.Now()
	if d.homes.Confirm(now, j.submit.Key) != outcome.Confirmed {
		return &refusal{code: peer.RefusePrimaryUnsure, retryAfter: d.homes.TimeToConfirm(now)}
	}
	return nil
}

// watch ends the job when the router withdraws it or goes away.
func (d *Server) watch(ctx context.Context, st *peer.Stream, j *job) {
	_, err := st.Receive(j.ctx)
	if j.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && ctx.Err() == nil && !j.profile.Idempotent {
		// The router is gone, but what runs only once runs to its end.
		return
	}
	if !j.profile.Idempotent && j.item.Started() {
		return
	}
	j.cut()
}

// waitForSlot reports whether the job got a slot before its deadline or withdrawal.
func (d *Server) waitForSlot(j *job) bool {
	select {
	case <-j.slot:
		return true
	case <-j.ctx.Done():
		return false
	}
}

// abandon forgets the key of a job that was never handed over, and forbids its start.
func (d *Server) abandon(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.record != nil {
		d.keys.Undo(j.record)
		j.record = nil
	}
	now := d.Clock.Now()
	d.attempts.Withdraw(now, j.attempt(), j.deadline.Sub(now))
}

// leave gives back what a job holds.
func (d *Server) leave(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Release(&j.verdict)
	d.scheduler.Done(d.Clock.Now(), j.item)
	delete(d.jobs, j)
	d.startNext()
	d.work.Done()
}
