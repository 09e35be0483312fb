package process

import (
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
	return text
}
