package router

import (
	"context"
	"time"

	"rattantrack.dev/core/settings"
)

// fetchLimit bounds the wait for a prefix; without it the engine reads the prompt again.
const fetchLimit = 2 * time.Second

// fetchPrefix brings a job's prefix from the side that holds it, and corrects the job's charge by what is missing.
func (d *Server) fetchPrefix(j *job) {
	holder := j.verdict.ImportFrom
	if holder == "" {
		return
	}
	address, ok := d.address(holder)
	var got settings.Tokens
	if ok {
		ctx, cancel := context.WithTimeout(j.ctx, fetchLimit)
		defer cancel()
		var err error
		got, err = d.Prefixes.Fetch(ctx, address, j.submit.Chat)
		if err != nil {
			d.Log.Debug("fetching a prefix", "request", j.submit.Request, "from", holder, "error", err)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.RecordMissingImport(&j.verdict, max(0, j.submit.PromptTokens-got))
	d.Scope.Counter("prefix_tokens_imported").Inc(int64(got))
}

func (d *Server) address(id settings.UpstreamID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.fleet.Upstreams[id]
	return u.Side, ok && !u.Destroyed
}
