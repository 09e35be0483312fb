package work

import (
	"fmt"
	"testing"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// BenchmarkPlacementInputs measures what one placement reads, for the largest fleet of docs/CAPACITY.md.
func BenchmarkPlacementInputs(b *testing.B) {
	for _, n := range []int{50, 7100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var t Tracker
			ids := make([]settings.UpstreamID, n)
			counts := make(inflight.Counts)
			now := clock.Instant(time.Second)
			for i := range ids {
				ids[i] = settings.UpstreamID(fmt.Sprintf("i-%06d", i))
				counts[ids[i]] = 1000
				t.Record(now, ids[i], 1)
			}
			t.Prompt.ReportTotals(now, counts)
			for b.Loop() {
				t.Waiting(now, ids, 10*time.Microsecond)
				t.Excess(now, ids)
			}
		})
	}
}
