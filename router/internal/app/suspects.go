package app

import (
	"fmt"
	"strings"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/quarantine"
)

// suspects exposes the quarantined requests and prompt blocks as a Dumper.
type suspects struct {
	tracker *quarantine.Tracker
}

// findingStatus is one quarantined request, by its digest, or one quarantined block in a dump.
type findingStatus struct {
	Digest    string `json:"digest,omitempty"`
	Block     string `json:"block,omitempty"`
	Blocks    string `json:"blocks,omitempty"`
	Suspected string `json:"suspected,omitempty"`
	Crashes   int    `json:"crashes"`
	Survivals int    `json:"survivals"`
	LeftMS    int64  `json:"left_ms"`
}

// String returns the name in dumps.
func (s *suspects) String() string { return "quarantine" }

// Dump returns the findings.
func (s *suspects) Dump() any {
	now := clock.Boot{}.Now()
	list := []findingStatus{}
	for _, f := range s.tracker.Findings(now) {
		status := findingStatus{Crashes: f.Crashes, Survivals: f.Survivals, LeftMS: f.Until.Sub(now).Milliseconds()}
		if f.Digest != 0 {
			status.Digest = f.Digest.String()
		} else {
			status.Block, status.Blocks, status.Suspected = f.Block.String(), joinBlocks(f.Blocks), joinBlocks(f.Suspected)
		}
		list = append(list, status)
	}
	return list
}

// logFinding logs a request or a block that is quarantined or released.
func (d *Direct) logFinding(f quarantine.Finding, quarantined bool) {
	subject, counter := "prompt", "prompts_quarantined"
	fields := []any{"block", f.Block.String(), "blocks", joinBlocks(f.Blocks), "suspected", joinBlocks(f.Suspected)}
	if f.Digest != 0 {
		subject, counter = "request", "requests_quarantined"
		fields = []any{"digest", f.Digest.String()}
	}
	fields = append(fields, "crashes", f.Crashes, "survivals", f.Survivals)
	if !quarantined {
		d.log.Info(subject+" released", fields...)
		return
	}
	d.metrics.Scope.Counter(counter).Inc(1)
	d.log.Warn(subject+" quarantined", append(fields, "left_ms", f.Until.Sub(clock.Boot{}.Now()).Milliseconds())...)
}

// logProbe logs a request that is sent although it has suspected blocks.
func (d *Direct) logProbe(f quarantine.Finding, req quarantine.Request) {
	d.metrics.Scope.Counter("suspected_prompts_tried").Inc(1)
	d.log.Info("suspected prompt tried", "digest", req.Digest.String(), "block", f.Block.String(), "suspected", joinBlocks(f.Suspected),
		"crashes", f.Crashes)
}

// maxListedBlocks bounds the blocks in a log line or in a dump; a prompt may have thousands.
const maxListedBlocks = 32

// joinBlocks returns the ids of blocks, separated by commas.
func joinBlocks(blocks []call.PromptBlockID) string {
	var ids []string
	for _, b := range blocks[:min(len(blocks), maxListedBlocks)] {
		ids = append(ids, b.String())
	}
	if more := len(blocks) - len(ids); more > 0 {
		ids = append(ids, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(ids, ",")
}
