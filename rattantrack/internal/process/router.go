package process

import (
	"fmt"
	"strconv"
	"strings"

	"rattantrack.dev/core/backoff"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// RouterStatus is the part of the state of a router without sides that the status command shows.
type RouterStatus struct {
	// Era is that of the router's last read of the directory, 0 if it has read none.
	Era members.Era `json:"era"`
	// Leaving are the upstreams that are about to end, Paused those that have asked this router for a pause.
	Leaving []settings.UpstreamID `json:"leaving,omitempty"`
	Paused  []settings.UpstreamID `json:"paused,omitempty"`
	// Work is the work that the upstreams have to do for all routers, nil if the router tells nothing about it.
	Work *RouterWork `json:"work,omitempty"`
}

// RouterWork is the part of a router's state about work that the status command shows.
type RouterWork struct {
	PromptTokens   int64   `json:"prompt_tokens"`
	Events         int64   `json:"events"`
	EstimateSpread float64 `json:"estimate_spread"`
	StatedSpeeds   *struct {
		Upstreams int `json:"upstreams"`
		Slow      int `json:"slow"`
	} `json:"stated_speeds,omitempty"`
}

// String returns the work on one line, empty for a router without prompts.
func (w *RouterWork) String() string {
	if w.PromptTokens == 0 && w.Events == 0 && w.StatedSpeeds == nil {
		return ""
	}
	text := fmt.Sprintf(", work %d tokens %d events, estimates within %.1f", w.PromptTokens, w.Events, w.EstimateSpread)
	if w.StatedSpeeds != nil {
		text += fmt.Sprintf(", slow %d of %d", w.StatedSpeeds.Slow, w.StatedSpeeds.Upstreams)
	}
	return text
}

// Router returns the status of a router, nil if the state is not that of a router without sides.
func Router(sections []Section) *RouterStatus {
	var directory struct {
		Era members.Era `json:"era"`
	}
	var instances []members.Status
	if !Find(sections, "directory", &directory) || !Find(sections, "members", &instances) {
		return nil
	}
	s := &RouterStatus{Era: directory.Era}
	for _, inst := range instances {
		s.Era = max(s.Era, inst.Era)
		if inst.Draining {
			s.Leaving = append(s.Leaving, inst.ID)
		}
	}
	var pauses []backoff.Status
	if Find(sections, "pauses", &pauses) {
		for _, p := range pauses {
			s.Paused = append(s.Paused, p.ID)
		}
	}
	var work RouterWork
	if Find(sections, "work", &work) {
		s.Work = &work
	}
	return s
}

// String returns the status on one line.
func (s *RouterStatus) String() string {
	text := "router, era " + strconv.FormatUint(uint64(s.Era), 10)
	for _, list := range []struct {
		label string
		ids   []settings.UpstreamID
	}{{"leaving", s.Leaving}, {"paused", s.Paused}} {
		if len(list.ids) == 0 {
			continue
		}
		names := make([]string, len(list.ids))
		for i, id := range list.ids {
			names[i] = string(id)
		}
		text += ", " + list.label + " " + strings.Join(names, " ")
	}
	if s.Work != nil {
		text += s.Work.String()
	}
	return text
}
