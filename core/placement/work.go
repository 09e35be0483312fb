package placement

import (
	"time"

	"rattantrack.dev/core/settings"
)

// Work is what an upstream has to do before it begins with a further request, and how fast it works.
type Work struct {
	// Waiting is the number of prompt tokens that it has still to prefill.
	Waiting settings.Tokens
	// Slowdown is how long work is expected to take there now, as a multiple of the usual time.
	Slowdown float64
}

// Times describes how long upstreams take for a prompt, and when that is too long. An upstream prefills prompts between the steps of
// its streams, so the prefill of a long prompt shows as a pause in each of them.
type Times struct {
	// PerToken is the usual time to prefill a prompt token, 0 if it is not known.
	PerToken time.Duration
	// FirstEvent and Pause are the objectives of the request's first event and of the pauses in streams, 0 for none.
	FirstEvent, Pause time.Duration
}

// tolerable is the share of an objective up to which an expected time costs nothing.
const tolerable = 0.5

// maxPausedStreams bounds the streams that count as paused. In a busy fleet, the rest of a prompt would otherwise cost more than to
// prefill all of it elsewhere, and prompts would leave the upstreams that cache them.
const maxPausedStreams = 3

// workCost returns the cost of what a candidate's work and speed add for the request and for the streams there. It answers loads in
// which upstreams are slow for fractions of a second, and in which prompts that no upstream has cached come in clumps: a long prompt
// goes where it is prefilled at once and fast. A wait that makes nothing late costs nothing, so that short prompts stay where they are
// cached.
func (p *Policy) workCost(r *Request, c *Candidate, mean float64) float64 {
	if c.Work == nil || p.TokensPerRequest <= 0 {
		return 0
	}
	uncached := float64(max(0, r.PromptTokens-c.CachedTokens))
	missing := float64(max(0, r.SharedTokens-c.CachedTokens))
	cost := p.SpreadCost * c.Order * missing / float64(p.TokensPerRequest)
	before := c.Work.Slowdown * float64(c.Work.Waiting) * float64(r.Times.PerToken)
	after := before + c.Work.Slowdown*uncached*float64(r.Times.PerToken)
	cost += p.LateCost * excess(after, r.Times.FirstEvent)
	// The streams there count as many as on average. By their own numbers, all routers would send their long prompts to the same
	// upstreams, those with few streams.
	return cost + p.LateCost*min(mean, maxPausedStreams)*(excess(after, r.Times.Pause)-excess(before, r.Times.Pause))
}

// excess returns by how much an expected time exceeds what is tolerable, as a multiple of its objective. It has no upper limit: if what
// is late anyway cost nothing more, the upstreams with the most work would be the cheapest.
func excess(expected float64, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	return max(0, expected/float64(objective)-tolerable)
}
