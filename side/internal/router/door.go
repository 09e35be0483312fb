package router

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/ticket"
	"rattantrack.dev/side/internal/upstream"
)

// answerMemory is the weight of the latest answer's length in a profile's running mean.
const answerMemory = 0.02

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Runner makes calls to the upstream.
type Runner interface {
	Run(ctx context.Context, call upstream.Call, sink upstream.Sink) (upstream.Usage, error)
}

// Fetcher brings the prefix of a chat from another side's engine to this one's, and returns its tokens.
type Fetcher interface {
	Fetch(ctx context.Context, address string, chat uint64) (settings.Tokens, error)
}

// Server is the one way to an upstream: every request for it passes here.
type Server struct {
	Self     settings.UpstreamID
	Clock    Clock
	Upstream Runner
	Issuer   *ticket.Issuer
	Log      *log.Logger
	Scope    tally.Scope
	Started  clock.Instant
	// Prefixes brings prefixes from other sides.
	Prefixes Fetcher

	mu       sync.Mutex
	fleet    *settings.Declarations
	service  settings.Service
	name     settings.ServiceName
	revision settings.Revision
	set      *rendezvous.Set
	siblings []string
	// former holds the addresses of sides that are no longer declared.
	former    map[settings.UpstreamID]string
	admission admission.Controller
	scheduler fairqueue.Scheduler
	attempts  outcome.Attempts
	keys      outcome.Keys
	homes     outcome.Primaries
	answers   map[settings.ProfileName]settings.Tokens
	jobs      map[*job]struct{}
	leaving   bool
	// listedUntil is how long the routers' word that this VM is leaving holds.
	listedUntil clock.Instant
	handovers   map[settings.UpstreamID]keptHandover
	work        sync.WaitGroup
	shedOnce    sync.Once
	shedWake    chan struct{}
}

// ApplyDeclarations puts an accepted version of the declarations in force.
func (d *Server) ApplyDeclarations(c revision.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.fleet
	d.fleet = c.Fleet
	d.revision = c.Version.Revision
	self, declared := c.Fleet.Upstreams[d.Self]
	if declared {
		d.name = self.Service
	}
	d.service = c.Fleet.Services[d.name]
	if d.set == nil || c.UpstreamsChanged() {
		d.rememberFormer(before, c.Fleet)
		d.setUpstreams(c.Fleet)
	}
	d.scheduler.Slots = d.service.MaxRunning
	d.scheduler.MaxQueued = d.service.MaxQueued
	d.admission.Self = d.Self
	d.admission.Policy = PolicyOf(d.service)
	d.admission.Prefixes.Limit = d.service.CacheTokens
	d.homes.Self = d.Self
	d.homes.Started = d.Started
	d.homes.Lifetime = d.service.KeyLifetime
	d.homes.Apply(d.Clock.Now(), d.homesChange(before, c))
	d.startNext()
}

// PolicyOf derives the load policy of a service from its declaration.
func PolicyOf(s settings.Service) admission.Policy {
	// One engine decodes MaxRunning streams while it could prefill PrefillRate tokens.
	weight := float64(s.DecodeRate) * float64(s.MaxRunning) / float64(s.PrefillRate)
	return admission.Policy{Multiple: s.Multiple, PrefillWeight: weight, CanImport: s.KVTransfer}
}

// homesChange tells the homes what changed of this service's declared upstreams.
func (d *Server) homesChange(before *settings.Declarations, c revision.Change) outcome.Change {
	change := outcome.Change{
		Revision:    c.Version.Revision,
		Set:         d.set,
		Destroyed:   c.Fleet.DestroyedOf(d.name),
		Consecutive: c.Consecutive,
	}
	for _, doc := range c.Documents {
		id, ok := settings.UpstreamOf(doc.Key)
		if !ok {
			continue
		}
		switch d.serviceOf(id, before, c.Fleet) {
		case d.name:
			change.Affected = append(change.Affected, id)
		case "":
			change.UnknownService = true
		}
	}
	return change
}

// serviceOf returns the service that an upstream belongs or belonged to, or "" when that is not known.
func (d *Server) serviceOf(id settings.UpstreamID, before, now *settings.Declarations) settings.ServiceName {
	if u, ok := now.Upstreams[id]; ok && u.Service == d.name {
		return d.name
	}
	if before != nil {
		if u, ok := before.Upstreams[id]; ok {
			return u.Service
		}
	}
	return now.Upstreams[id].Service
}

// ExchangeSample merges another side's sample into the estimate and returns the sample from here.
func (d *Server) ExchangeSample(other *meanload.Sample) meanload.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	own := d.admission.Load()
	mine := d.admission.Estimator.Sample(now, d.Self, own)
	if other != nil {
		d.admission.Estimator.Merge(now, own, *other)
	}
	return mine
}

// MergeSample takes in the answer to an exchange that was begun here.
func (d *Server) MergeSample(other meanload.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Estimator.Merge(d.Clock.Now(), d.admission.Load(), other)
}

// Siblings returns the addresses of the other declared sides of the same service, and the service; callers must not
// change the list.
func (d *Server) Siblings() (settings.ServiceName, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.name, d.siblings
}

// maxFormer bounds the sides remembered that are no longer declared.
const maxFormer = 256

// rememberFormer keeps the addresses of sides that a change takes out of the declarations; the caller holds the lock.
func (d *Server) rememberFormer(before, now *settings.Declarations) {
	if before == nil {
		return
	}
	if d.former == nil || len(d.former) > maxFormer {
		d.former = make(map[settings.UpstreamID]string)
	}
	for _, id := range before.UpstreamsOf(d.name) {
		if _, still := now.Upstreams[id]; !still {
			d.former[id] = before.Upstreams[id].Side
		}
	}
}

// setUpstreams takes in the declared upstreams of the service; the caller holds the lock.
func (d *Server) setUpstreams(f *settings.Declarations) {
	d.set = rendezvous.New(f.UpstreamsOf(d.name))
	d.siblings = make([]string, 0, d.set.Len())
	for _, id := range d.set.IDs() {
		if id != d.Self {
			d.siblings = append(d.siblings, f.Upstreams[id].Side)
		}
	}
}

// Forget drops what is known of a side that is leaving.
func (d *Server) Forget(side settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Estimator.Forget(side)
}

// Leave refuses new work from now on.
func (d *Server) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Leaving reports whether new work is refused.
func (d *Server) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLeaving(d.Clock.Now())
}

// isLeaving reports whether new work is refused; the caller holds the lock.
func (d *Server) isLeaving(now clock.Instant) bool {
	return d.leaving || now.Before(d.listedUntil)
}

// ListedLeaving notes a router's word that the VM list shows this VM leaving; it holds until it is no longer renewed.
func (d *Server) ListedLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listedUntil = d.Clock.Now().Add(peer.LeavingLease)
}

// Drain waits until all work has ended, and cuts what has not when ctx ends.
func (d *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	d.mu.Lock()
	for j := range d.jobs {
		j.cut()
	}
	d.mu.Unlock()
	<-done
}

// startNext gives free slots to waiting jobs; the caller holds the lock.
func (d *Server) startNext() {
	for {
		it := d.scheduler.Pop(d.Clock.Now())
		if it == nil {
			return
		}
		it.Start()
	}
}

// decodeGuess returns the expected length of an answer; the caller holds the lock.
func (d *Server) decodeGuess(name settings.ProfileName, p settings.Profile) settings.Tokens {
	if learned, ok := d.answers[name]; ok {
		return learned
	}
	return p.ExpectedTokens
}

// learn takes the length of an answer into the profile's mean; the caller holds the lock.
func (d *Server) learn(name settings.ProfileName, p settings.Profile, answer settings.Tokens) {
	if d.answers == nil {
		d.answers = make(map[settings.ProfileName]settings.Tokens)
	}
	have := d.decodeGuess(name, p)
	d.answers[name] = have + answerMemory*(answer-have)
}

// retryAfter tells a refused caller when to come back, from the present queue; the caller holds the lock.
func (d *Server) retryAfter() time.Duration {
	return max(time.Second, d.scheduler.Wait())
}
