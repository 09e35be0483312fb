package quarantine

import (
	"testing"

	"rattantrack.dev/core/call"
)

// BenchmarkLostAnswers measures a router that hears of many lost answers, none of which has anything in common with the others but the first
// block of its prompt.
func BenchmarkLostAnswers(b *testing.B) {
	tracker := &Tracker{}
	for i := range b.N {
		req := prompt(1, call.PromptBlockID(1000+i%200))
		if i%2 == 0 {
			req = Request{}
		}
		req.Digest = call.RequestDigest(i + 1)
		now := at(40 * i)
		tracker.RecordSurvival(now, prompt(1, call.PromptBlockID(1000+i%200)))
		tracker.RecordCrash(now, instance(i%24), req, Weak)
		tracker.Quarantined(now, req)
	}
}
