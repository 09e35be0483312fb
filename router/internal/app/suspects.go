package app

import (
	"strings"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/quarantine"
)

// suspects exposes the quarantined prompt blocks as a Dumper.
type suspects struct {
	tracker *quarantine.Tracker
}

// findingStatus is one quarantined block in a dump.
type findingStatus struct {
	Block     string `json:"block"`
	Blocks    string `json:"blocks"`
	Crashes   int    `json:"crashes"`
	Survivals int    `json:"survivals"`
	LeftMS    int64  `json:"left_ms"`
}

// String returns the name in dumps.
func (s *suspects) String() string { return "quarantine" }

// Dump returns the quarantined blocks.
func (s *suspects) Dump() any {
	now := clock.Boot{}.Now()
	list := []findingStatus{}
	for _, f := range s.tracker.Findings(now) {
		list = append(list, findingStatus{
			Block: f.Block.String(), Blocks: joinBlocks(f.Blocks), Crashes: f.Crashes, Survivals: f.Survivals, LeftMS: f.Until.Sub(now).Milliseconds(),
		})
	}
	return list
}

// logFinding logs a block that is quarantined or released.
func (d *Direct) logFinding(f quarantine.Finding, quarantined bool) {
	fields := []any{"block", f.Block.String(), "blocks", joinBlocks(f.Blocks), "crashes", f.Crashes, "survivals", f.Survivals}
	if !quarantined {
		d.log.Info("prompt released", fields...)
		return
	}
	d.metrics.Scope.Counter("prompts_quarantined").Inc(1)
	d.log.Warn("prompt quarantined", append(fields, "left_ms", f.Until.Sub(clock.Boot{}.Now()).Milliseconds())...)
}

// joinBlocks returns the ids of blocks, separated by commas.
func joinBlocks(blocks []call.PromptBlockID) string {
	ids := make([]string, len(blocks))
	for i, b := range blocks {
		ids[i] = b.String()
	}
	return strings.Join(ids, ",")
}
