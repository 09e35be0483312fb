package router

import (
	"context"
	"time"

	"rattantrack.dev/core/settings"
)

// fetchTimeout bounds the wait for a prefix; without the prefix the engine prefills the prompt again.
const fetchTimeout = 2 * time.Second

// fetchPrefix fetches a job's prefix from the side that has it cached, and adds missing tokens to the job's charge.
func (s *Server) fetchPrefix(j *job) {
	owner := j.decision.ImportFrom
	if owner == "" {
		return
	}
	address, ok := s.address(owner)
	var imported settings.Tokens
	if ok {
		ctx, cancel := context.WithTimeout(j.ctx, fetchTimeout)
		defer cancel()
		var err error
		imported, err = s.Prefixes.Fetch(ctx, address, j.submit.Chat)
		if err != nil {
			s.Log.Info("cannot fetch a prefix", "request", j.submit.Request, "from", owner, "error", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.RecordMissingImport(&j.decision, max(0, j.submit.PromptTokens-imported))
	s.Scope.Counter("prefix_tokens_imported").Inc(int64(imported))
}

func (s *Server) address(id settings.UpstreamID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.declarations.Upstreams[id]
	return u.Side, ok && !u.Destroyed
}
