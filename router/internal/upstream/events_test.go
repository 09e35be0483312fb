package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
)

func TestNextReturnsCompleteEvents(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	tests := []struct {
		name, body string
		ids        []call.EventID
		end        error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []call.EventID{"1", "2"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []call.EventID{"1"}, io.EOF},
		{"end within an event", "id: 1\ndata: a\n\nid: 2\ndat", []call.EventID{"1"}, io.ErrUnexpectedEOF},
		{"end before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"line longer than the buffer", "id: 1\ndata: " + long + "\n\nid: 2\n\n", []call.EventID{"1", "2"}, io.EOF},
		{"empty stream", "", nil, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			events := NewEvents(iotest.HalfReader(strings.NewReader(tt.body)), nil, clock.Boot{})
			var ids []call.EventID
			var raw strings.Builder
			for {
				e, err := events.Next()
				if err != nil {
					c.Assert(errors.Is(err, tt.end), qt.IsTrue, qt.Commentf("%v", err))
					break
				}
				ids = append(ids, e.ID)
				raw.Write(e.Raw)
			}
			c.Assert(ids, qt.DeepEquals, tt.ids)
			c.Assert(strings.HasPrefix(tt.body, raw.String()), qt.IsTrue)
		})
	}
}

// TestUnfinishedEventsTakeAllMemory guards against keeping an event of each client up to its limit.
func TestUnfinishedEventsTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	budget := &memorybudget.Budget{Limit: 4 * maxEventBytes}
	full := 0
	var open []*Events
	var leases []*memorybudget.Lease
	for range 32 {
		lease := budget.Open()
		events := NewEvents(strings.NewReader("data: x\n\ndata: "+strings.Repeat("x", maxEventBytes-100)), lease, clock.Boot{})
		_, err := events.Next()
		c.Assert(err, qt.IsNil)
		_, err = events.Next()
		var fullErr *memorybudget.FullError
		if errors.As(err, &fullErr) {
			full++
		}
		open, leases = append(open, events), append(leases, lease)
	}
	c.Assert(full > 0, qt.IsTrue)
	c.Assert(budget.Status().Used <= budget.Limit, qt.IsTrue)
	for _, events := range open {
		events.Close()
	}
	c.Assert(budget.Status().Used, qt.Equals, int64(0))
	for _, lease := range leases {
		lease.Close()
	}
}

// TestMemoryOfPastEventsIsHeld guards against holding what a long event took while the short ones after it are read.
func TestMemoryOfPastEventsIsHeld(t *testing.T) {
	c := qt.New(t)
	budget := &memorybudget.Budget{Limit: 4 * maxEventBytes}
	events := NewEvents(strings.NewReader("data: "+strings.Repeat("x", 100_000)+"\n\ndata: y\n\n"), budget.Open(), clock.Boot{})
	_, err := events.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(budget.Status().Used >= 100_000, qt.IsTrue)
	_, err = events.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(budget.Status().Used, qt.Equals, int64(0))
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		events := NewEvents(strings.NewReader(body), nil, clock.Boot{})
		var raw strings.Builder
		for {
			e, err := events.Next()
			if err != nil {
				break
			}
			raw.Write(e.Raw)
		}
		if !strings.HasPrefix(body, raw.String()) {
			t.Fatalf("events %q are not a prefix of %q", raw.String(), body)
		}
	})
}
