package work

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

const (
	// paceWeight is the weight of one observation in the mean of an upstream, serviceWeight in that of a service.
	paceWeight    = 1.0 / 8
	serviceWeight = 1.0 / 256
	// paceHalfLife is the time in which the pace of an upstream that is not observed returns halfway to that of its service.
	paceHalfLife = 5 * time.Second
	// minPrefill is the size of a prompt from which on the time to the first event shows how fast prompts are prefilled.
	minPrefill = 2000
)

// pace is the mean of an upstream's pauses as a multiple of its service's mean.
type pace struct {
	at       clock.Instant
	relative float64
}

// servicePace holds the means of a service: the pause between two events, and the time to prefill a prompt token.
type servicePace struct {
	pause, perToken float64
}

// Pace learns from this router's streams how fast the upstreams work, of which some state nothing. The zero value is empty and ready to
// use.
type Pace struct {
	mu        sync.Mutex
	services  map[settings.ServiceName]*servicePace
	upstreams map[settings.UpstreamID]*pace
}

// RecordPause records the time between two events of a stream.
func (p *Pace) RecordPause(now clock.Instant, name settings.ServiceName, id settings.UpstreamID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	if s.pause == 0 {
		s.pause = float64(d)
	}
	s.pause += serviceWeight * (float64(d) - s.pause)
	if p.upstreams == nil {
		p.upstreams = make(map[settings.UpstreamID]*pace)
	}
	u := p.upstreams[id]
	if u == nil {
		p.forget(now)
		u = &pace{relative: 1}
		p.upstreams[id] = u
	}
	u.relative = u.fade(now)
	u.relative += paceWeight * (float64(d)/max(1, s.pause) - u.relative)
	u.at = now
}

// RecordPrefill records the time to the first event of a stream whose upstream had to prefill a number of prompt tokens.
func (p *Pace) RecordPrefill(name settings.ServiceName, tokens settings.Tokens, d time.Duration) {
	if tokens < minPrefill {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	perToken := float64(d) / float64(tokens)
	if s.perToken == 0 {
		s.perToken = perToken
	}
	s.perToken += 8 * serviceWeight * (perToken - s.perToken)
}

// PrefillTime returns how long the upstreams of a service take to prefill a number of prompt tokens, 0 if that is not known.
func (p *Pace) PrefillTime(name settings.ServiceName, tokens settings.Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.service(name).perToken * float64(tokens))
}

// Relative returns the pauses of each upstream as a multiple of those of its service, in the given order.
func (p *Pace) Relative(now clock.Instant, ids []settings.UpstreamID) []float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]float64, len(ids))
	for i, id := range ids {
		list[i] = 1
		if u := p.upstreams[id]; u != nil {
			list[i] = u.fade(now)
		}
	}
	return list
}

// fade returns the relative pause as it counts now.
func (u *pace) fade(now clock.Instant) float64 {
	age := float64(now.Sub(u.at)) / float64(paceHalfLife)
	return 1 + (u.relative-1)/(1+age)
}

// forget drops upstreams that were not observed for so long that they count as usual.
func (p *Pace) forget(now clock.Instant) {
	for id, u := range p.upstreams {
		if now.Sub(u.at) > 20*paceHalfLife {
			delete(p.upstreams, id)
		}
	}
}

func (p *Pace) service(name settings.ServiceName) *servicePace {
	if p.services == nil {
		p.services = make(map[settings.ServiceName]*servicePace)
	}
	s := p.services[name]
	if s == nil {
		s = &servicePace{}
		p.services[name] = s
	}
	return s
}
