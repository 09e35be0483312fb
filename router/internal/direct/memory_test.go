package direct

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/router/internal/upstream"
)

// largestWriteSink records the size of the largest write.
type largestWriteSink struct {
	memorySink
	largest int
}

func (s *largestWriteSink) Write(data []byte, flush bool) error {
	s.largest = max(s.largest, len(data))
	return s.memorySink.Write(data, flush)
}

// TestBufferedResponsesTakeAllMemory guards against keeping the responses of all clients until they are complete, which those that read
// slowly can make last.
func TestBufferedResponsesTakeAllMemory(t *testing.T) {
	body := strings.Repeat("0123456789", maxBufferedBytes/20)
	tests := []struct {
		name    string
		held    int64
		largest int
	}{
		{"room", 0, len(body)},
		{"no room", 400 << 10, 32 << 10},
		{"no memory", 512 << 10, 32 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			budget := &memorybudget.Budget{Limit: 512 << 10}
			for held := tt.held; held > 0; held -= 16 << 10 {
				c.Assert(budget.Open().Grow(0, 16<<10), qt.IsNil)
			}
			b := newFixture(t, handlers{respond(200, body)})
			now := b.Clock.Now()
			lease := budget.Open()
			r := &Request{
				Request: call.Request{ID: "r1"}, RouteConfig: idempotent, Service: "desk", Arrived: now, Deadline: now.Add(3 * time.Second),
				Memory: lease,
				Outbound: upstream.Request{
					ID: "r1", Method: http.MethodGet, URI: "/a", Host: "h.example", Header: http.Header{"Id": {"r1"}},
				},
			}
			sink := &largestWriteSink{}
			res := b.Do(context.Background(), r, sink)
			c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
			c.Assert(sink.body.String() == body, qt.IsTrue)
			c.Assert(sink.largest <= tt.largest, qt.IsTrue, qt.Commentf("%d bytes", sink.largest))
			lease.Close()
			c.Assert(budget.Status().Used, qt.Equals, tt.held)
		})
	}
}
