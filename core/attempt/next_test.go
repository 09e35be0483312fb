package attempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestNext(t *testing.T) {
	base := State{Runs: 1, MaxRuns: 2, Attempts: 1, Remaining: time.Second}
	with := func(change func(*State)) State {
		s := base
		change(&s)
		return s
	}
	tests := []struct {
		name  string
		state State
		want  Step
	}{
		{"complete", with(func(s *State) { s.Ending, s.Repeatable = Complete, true }), Stop},
		{"client gone", with(func(s *State) { s.Ending, s.Repeatable = ClientGone, true }), Stop},
		{"not sent may go elsewhere", with(func(s *State) { s.Ending, s.Runs = NotSent, 0 }), Reconnect},
		{"refused may go elsewhere", with(func(s *State) { s.Ending, s.Runs, s.MaxRuns = Refused, 0, 1 }), Retry},
		{"lost and not repeatable", with(func(s *State) { s.Ending = Lost }), Stop},
		{"failed and not repeatable", with(func(s *State) { s.Ending = Failed }), Stop},
		{"cut and not repeatable", with(func(s *State) { s.Ending = Cut }), Stop},
		{"lost and repeatable", with(func(s *State) { s.Ending, s.Repeatable = Lost, true }), Retry},
		{"cut and resumable", with(func(s *State) { s.Ending, s.Repeatable = Cut, true }), Retry},
		{"cut with a part that no other run can continue", with(func(s *State) { s.Ending, s.Delivered, s.Repeatable = Cut, Part, true }), Stop},
		{"runs used up", with(func(s *State) { s.Ending, s.Repeatable, s.Runs = Lost, true, 2 }), Stop},
		{"no time left", with(func(s *State) { s.Ending, s.Repeatable, s.Remaining = Lost, true, time.Millisecond }), Stop},
		{"attempts used up", with(func(s *State) { s.Ending, s.Attempts = Refused, maxAttempts }), Stop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Assert(Next(tt.state), qt.Equals, tt.want)
		})
	}
}
