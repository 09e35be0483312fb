package router

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
)

// TestSubmissionsTakeAllMemory guards against keeping the bodies of all submissions, and against one that is refused and starts later.
func TestSubmissionsTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	const body = 1 << 20
	s := &Server{
		Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope, Memory: &memorybudget.Budget{Limit: 6 * bodyCopies * body},
	}
	refused := 0
	var jobs []*job
	for i := range peer.AttemptID(8) {
		j := &job{
			submit: &peer.Submit{Request: "r", Attempt: i, Body: make([]byte, body)}, deadline: clock.Boot{}.Now().Add(time.Minute),
			memory: s.Memory.Open(),
		}
		jobs = append(jobs, j)
		_, refusal := s.admitAttempt(j)
		if refusal.code == peer.RefuseOverloaded {
			refused++
			c.Assert(refusal.retryAfter > 0, qt.IsTrue)
			c.Assert(refusal.keyNotRun, qt.IsFalse)
			c.Assert(s.attempts.Seen(j.attempt()), qt.IsTrue)
		}
	}
	c.Assert(refused, qt.Equals, 4)
	for _, j := range jobs {
		j.memory.Close()
	}
	c.Assert(s.Memory.Status().Used, qt.Equals, int64(0))
}
