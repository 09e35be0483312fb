package unresponsive

import (
	"fmt"
	"testing"

	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// BenchmarkUnresponsive checks the upstreams of one request, as each placement does, while all of them respond.
func BenchmarkUnresponsive(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{28, 52}, {300, 3000}} {
		b.Run(fmt.Sprintf("%d routers, %d engines", size.routers, size.engines), func(b *testing.B) {
			var d Detector
			open := make(inflight.Counts)
			var engineIDs []settings.UpstreamID
			for e := range size.engines {
				id := settings.UpstreamID(fmt.Sprintf("e%04d", e))
				engineIDs = append(engineIDs, id)
				open[id] = 1
			}
			for r := range size.routers {
				d.Report(1000*ms, inflight.RouterID(fmt.Sprint(r)), open, nil)
			}
			for b.Loop() {
				d.Unresponsive(1100*ms, engineIDs)
			}
		})
	}
}
