package routers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// BenchmarkTree reports the bytes of each section that the router in the middle and the busiest one send and get in a second, in fleets
// whose routers use many prompts and in which an instance changes each second.
func BenchmarkTree(b *testing.B) {
	for _, n := range []int{100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			nodes := startTree(b, n, 0)
			all(b, "routers known", nodes, knowsAll(nodes))
			const measured = 10 * time.Second
			before := sectionBytes(nodes)
			start := time.Now()
			for i := 0; time.Since(start) < measured; i++ {
				now := clock.Boot{}.Now()
				for j, node := range nodes {
					id := settings.UpstreamID(fmt.Sprintf("i-%010d", (i*n+j)%3000))
					node.service.Affinity.RecordUse(now, []call.PromptBlock{{ID: call.PromptBlockID(i*n + j), Tokens: 100}}, id)
				}
				if i%10 == 0 {
					change := members.Change{ID: "i-0123456789", Revision: members.Revision(i + 1), Instance: members.Instance{
						ID: "i-0123456789", Service: "letters", Address: "10.1.2.3:8400", DataCentre: "kano", Slots: 64, Version: "v1",
					}}
					nodes[i%n].service.Broadcast([]members.Change{change})
				}
				time.Sleep(100 * time.Millisecond)
			}
			after := sectionBytes(nodes)
			for section := range after {
				if before[section] == nil {
					before[section] = make([]int64, n)
				}
				var rates []float64
				for i := range nodes {
					rates = append(rates, float64(after[section][i]-before[section][i])/measured.Seconds())
				}
				slices.Sort(rates)
				b.ReportMetric(rates[n/2], section+"_middle_B/s")
				b.ReportMetric(rates[n-1], section+"_busiest_B/s")
			}
		})
	}
}

// sectionBytes returns the bytes of each section that each router has sent and got.
func sectionBytes(nodes []*treeNode) map[string][]int64 {
	out := make(map[string][]int64)
	for i, node := range nodes {
		for _, c := range node.scope.Snapshot().Counters() {
			section := c.Tags()["section"]
			if section == "" {
				continue
			}
			if out[section] == nil {
				out[section] = make([]int64, len(nodes))
			}
			out[section][i] += c.Value()
		}
	}
	return out
}
