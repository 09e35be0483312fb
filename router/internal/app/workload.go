package app

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/work"
)

// workload exposes what requests are expected to cost and what upstreams still have to do as a Dumper.
type workload struct {
	costs   *cost.Estimator
	work    *work.Tracker
	members *members.Registry
}

// workloadStatus is the part of a dump about work. All amounts are those of all routers.
type workloadStatus struct {
	// PromptTokens and Events are left to prefill and to send.
	PromptTokens int64 `json:"prompt_tokens"`
	Events       int64 `json:"events"`
	// MostPromptTokens is the largest amount of one upstream.
	MostPromptTokens int64 `json:"most_prompt_tokens"`
	// Estimates, EstimateBias and EstimateSpread describe the ratio of actual to estimated output.
	Estimates      int     `json:"estimates"`
	EstimateBias   float64 `json:"estimate_bias"`
	EstimateSpread float64 `json:"estimate_spread"`
	Distributions  int     `json:"distributions"`
	// StatedSpeeds describes the speeds that upstreams state, nil if they state none.
	StatedSpeeds *work.Status `json:"stated_speeds,omitempty"`
}

// String returns the name in dumps.
func (w *workload) String() string { return "work" }

// Dump returns the work and the speeds that are known now.
func (w *workload) Dump() any {
	now := clock.Boot{}.Now()
	accuracy := w.costs.Accuracy(now)
	status := workloadStatus{
		Estimates: int(accuracy.Requests), EstimateBias: accuracy.Bias, EstimateSpread: accuracy.Spread, Distributions: accuracy.Distributions,
	}
	for _, a := range w.work.Left(now, w.members.IDs()) {
		status.PromptTokens += int64(a.Prompt)
		status.Events += int64(a.Events)
		status.MostPromptTokens = max(status.MostPromptTokens, int64(a.Prompt))
	}
	if w.work.Active(now) {
		speeds := w.work.Status(now)
		status.StatedSpeeds = &speeds
	}
	return status
}
