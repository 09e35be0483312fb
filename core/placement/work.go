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

// Pauses describes when a prompt disturbs the streams that run beside it. An upstream prefills prompts between the steps of its
// streams, so the prefill of a long prompt shows as a pause in each of them.
type Pauses struct {
	// PerToken is the usual time to prefill a prompt token, 0 if it is not known.
	PerToken time.Duration
	// Objective is the longest pause with which a stream is on time, 0 for none.
	Objective time.Duration
}

// tolerablePause is the share of the objective up to which a pause that is expected costs nothing.
const tolerablePause = 0.5

// workCost returns the cost of what a candidate's work adds to the time until the request's first event, and of the pauses that the
// request causes to the streams there. It answers loads in which upstreams are slow for fractions of a second and prompts that no
// upstream has cached come in clumps: a long prompt goes where it is prefilled at once and fast.
func (p *Policy) workCost(r *Request, c *Candidate) float64 {
	if c.Work == nil || p.TokensPerRequest <= 0 {
		return 0
	}
	uncached := float64(max(0, r.PromptTokens-c.CachedTokens))
	prefill := c.Work.Slowdown * (float64(c.Work.Waiting) + uncached)
	// The cost has the tokens that the candidate lacks already, at the usual speed.
	cost := (prefill - uncached) / float64(p.TokensPerRequest)
	return cost + p.pausedCost(r, c, prefill) + p.SpreadCost*c.Order*uncached/float64(p.TokensPerRequest)
}

// pausedCost returns the cost of the streams that the request makes late, with the prefill in tokens of the usual speed.
func (p *Policy) pausedCost(r *Request, c *Candidate, prefill float64) float64 {
	objective := float64(r.Pauses.Objective)
	if objective <= 0 {
		return 0
	}
	pause := prefill * float64(r.Pauses.PerToken) / objective
	return p.PausedCost * float64(c.Load) * max(0, min(1, (pause-tolerablePause)/(1-tolerablePause)))
}
