package sides

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
)

// TestBufferedAnswersTakeAllMemory guards against keeping the answers of all calls until they are complete.
func TestBufferedAnswersTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	const chunk = 256 << 10
	b := &memorybudget.Budget{Limit: 4 * chunk}
	kept := 0
	var all []*progress
	for range 8 {
		p := &progress{sink: &textSink{}, memory: b.Open(), clock: clock.Boot{}}
		all = append(all, p)
		err := p.writeChunk(make([]byte, chunk), false)
		var full *memorybudget.FullError
		if !errors.As(err, &full) {
			c.Assert(err, qt.IsNil)
			kept++
		}
	}
	c.Assert(kept, qt.Equals, 3)
	c.Assert(b.Status().Used, qt.Equals, int64(3*chunk))
	for _, p := range all {
		p.discardUnsent()
	}
	c.Assert(b.Status().Used, qt.Equals, int64(0))
}
