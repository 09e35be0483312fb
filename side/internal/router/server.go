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
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/ticket"
	"rattantrack.dev/side/internal/upstream"
)

// answerLengthWeight is the weight of the latest answer's length in a profile's running mean.
const answerLengthWeight = 0.02

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Runner sends calls to the upstream.
type Runner interface {
	Run(ctx context.Context, call upstream.Call, sink upstream.Sink) (upstream.Usage, error)
}

// Fetcher copies the prefix of a chat from another side's engine to this one's, and returns its length in tokens.
type Fetcher interface {
	Fetch(ctx context.Context, address string, chat uint64) (settings.Tokens, error)
}

// Server controls the access to one upstream: every request for the upstream passes through it.
type Server struct {
	Self     settings.UpstreamID
	Clock    Clock
	Upstream Runner
	Issuer   *ticket.Issuer
	Log      *log.Logger
	Scope    tally.Scope
	Started  clock.Instant
	// Prefixes fetches prefixes from other sides.
	Prefixes Fetcher
	// Memory bounds the bodies of all submissions together, nil for no bound.
	Memory *memorybudget.Budget

	mu           sync.Mutex
	declarations *settings.Declarations
	service      settings.Service
	serviceName  settings.ServiceName
	revision     settings.Revision
	// upstreamSet holds the declared upstreams of the service, siblings the addresses of its other sides.
	upstreamSet *rendezvous.Set
	siblings    []string
	// previousSides holds the addresses of sides that are no longer declared.
	previousSides map[settings.UpstreamID]string
	admission     admission.Controller
	scheduler     fairqueue.Scheduler
	attempts      outcome.Attempts
	keys          outcome.Keys
	primaries     outcome.Primaries
	answerLengths map[settings.ProfileName]settings.Tokens
	jobs          map[*job]struct{}
	leaving       bool
	// listedLeavingUntil is when the latest router's notice that this VM is listed as leaving expires.
	listedLeavingUntil clock.Instant
	handovers          map[settings.UpstreamID]keptHandover
	work               sync.WaitGroup
	moveOnce           sync.Once
	moveSignal         chan struct{}
}

// ApplyDeclarations puts an accepted version of the declarations in force.
func (s *Server) ApplyDeclarations(c revision.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.declarations
	s.declarations = c.Declarations
	s.revision = c.Version.Revision
	self, declared := c.Declarations.Upstreams[s.Self]
	if declared {
		s.serviceName = self.Service
	}
	s.service = c.Declarations.Services[s.serviceName]
	if s.upstreamSet == nil || c.UpstreamsChanged() {
		s.recordPreviousSides(before, c.Declarations)
		s.setUpstreams(c.Declarations)
	}
	s.scheduler.Slots = s.service.MaxRunning
	s.scheduler.MaxQueued = s.service.MaxQueued
	s.admission.Self = s.Self
	s.admission.Policy = PolicyOf(s.service)
	s.admission.Prefixes.Limit = s.service.CacheTokens
	s.primaries.Self = s.Self
	s.primaries.Started = s.Started
	s.primaries.Lifetime = s.service.KeyLifetime
	s.primaries.Apply(s.Clock.Now(), s.primariesChange(before, c))
	s.startNext()
}

// PolicyOf returns the load policy of a service from its declaration.
func PolicyOf(s settings.Service) admission.Policy {
	// In one second an engine decodes DecodeRate tokens for each of MaxRunning streams, or prefills PrefillRate tokens.
	weight := float64(s.DecodeRate) * float64(s.MaxRunning) / float64(s.PrefillRate)
	return admission.Policy{Multiple: s.Multiple, PrefillWeight: weight, CanImport: s.KVTransfer}
}

// primariesChange returns the change of this service's declared upstreams.
func (s *Server) primariesChange(before *settings.Declarations, c revision.Change) outcome.Change {
	change := outcome.Change{
		Revision:    c.Version.Revision,
		Set:         s.upstreamSet,
		Destroyed:   c.Declarations.DestroyedOf(s.serviceName),
		Consecutive: c.Consecutive,
	}
	for _, doc := range c.Documents {
		id, ok := settings.UpstreamOf(doc.Key)
		if !ok {
			continue
		}
		switch s.serviceOf(id, before, c.Declarations) {
		case s.serviceName:
			change.Affected = append(change.Affected, id)
		case "":
			change.UnknownService = true
		}
	}
	return change
}

// serviceOf returns the service that an upstream belongs or belonged to, or "" if it is not known.
func (s *Server) serviceOf(id settings.UpstreamID, before, now *settings.Declarations) settings.ServiceName {
	if u, ok := now.Upstreams[id]; ok && u.Service == s.serviceName {
		return s.serviceName
	}
	if before != nil {
		if u, ok := before.Upstreams[id]; ok {
			return u.Service
		}
	}
	return now.Upstreams[id].Service
}

// ExchangeSample returns this side's load sample and merges the other side's into the estimate, if there is one.
func (s *Server) ExchangeSample(other *meanload.Sample) meanload.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	own := s.admission.Load()
	mine := s.admission.Estimator.Sample(now, s.Self, own)
	if other != nil {
		s.admission.Estimator.Merge(now, own, *other)
	}
	return mine
}

// MergeSample merges the response to an exchange that this side started into the estimate.
func (s *Server) MergeSample(other meanload.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Estimator.Merge(s.Clock.Now(), s.admission.Load(), other)
}

// Siblings returns the service's name and the addresses of its other declared sides; callers must not change the list.
func (s *Server) Siblings() (settings.ServiceName, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceName, s.siblings
}

// maxPreviousSides bounds the recorded sides that are no longer declared.
const maxPreviousSides = 256

// recordPreviousSides keeps the addresses of sides that a change removes from the declarations; the caller holds the
// lock.
func (s *Server) recordPreviousSides(before, now *settings.Declarations) {
	if before == nil {
		return
	}
	if s.previousSides == nil || len(s.previousSides) > maxPreviousSides {
		s.previousSides = make(map[settings.UpstreamID]string)
	}
	for _, id := range before.UpstreamsOf(s.serviceName) {
		if _, still := now.Upstreams[id]; !still {
			s.previousSides[id] = before.Upstreams[id].Side
		}
	}
}

// setUpstreams replaces the declared upstreams of the service; the caller holds the lock.
func (s *Server) setUpstreams(declarations *settings.Declarations) {
	s.upstreamSet = rendezvous.New(declarations.UpstreamsOf(s.serviceName))
	s.siblings = make([]string, 0, s.upstreamSet.Len())
	for _, id := range s.upstreamSet.IDs() {
		if id != s.Self {
			s.siblings = append(s.siblings, declarations.Upstreams[id].Side)
		}
	}
}

// Forget removes a side from the recorded loads.
func (s *Server) Forget(side settings.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Estimator.Forget(side)
}

// Leave makes the server refuse new work from now on.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Leaving reports whether new work is refused.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving(s.Clock.Now())
}

// isLeaving reports whether new work is refused; the caller holds the lock.
func (s *Server) isLeaving(now clock.Instant) bool {
	return s.leaving || now.Before(s.listedLeavingUntil)
}

// ListedLeaving records a router's notice that the VM list has this VM as leaving; the notice expires unless renewed.
func (s *Server) ListedLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedLeavingUntil = s.Clock.Now().Add(peer.LeavingLease)
}

// Drain waits until all work has ended; when ctx ends, it cancels the remaining work.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	for j := range s.jobs {
		j.stop()
	}
	s.mu.Unlock()
	<-done
}

// startNext assigns free slots to waiting jobs; the caller holds the lock.
func (s *Server) startNext() {
	for {
		it := s.scheduler.Pop(s.Clock.Now())
		if it == nil {
			return
		}
		it.Start()
	}
}

// expectedAnswer returns the expected length of an answer; the caller holds the lock.
func (s *Server) expectedAnswer(name settings.ProfileName, p settings.Profile) settings.Tokens {
	if mean, ok := s.answerLengths[name]; ok {
		return mean
	}
	return p.ExpectedTokens
}

// recordAnswerLength adds the length of an answer to the profile's running mean; the caller holds the lock.
func (s *Server) recordAnswerLength(name settings.ProfileName, p settings.Profile, answer settings.Tokens) {
	if s.answerLengths == nil {
		s.answerLengths = make(map[settings.ProfileName]settings.Tokens)
	}
	mean := s.expectedAnswer(name, p)
	s.answerLengths[name] = mean + answerLengthWeight*(answer-mean)
}

// retryAfter returns the time after which a refused caller may retry, from the current queue; the caller holds the lock.
func (s *Server) retryAfter() time.Duration {
	return max(time.Second, s.scheduler.Wait())
}
