package retry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRetriesAreBoundedWhenAllAttemptsFail(t *testing.T) {
	c := qt.New(t)
	var b Budget
	const firstAttempts = 10_000
	attempts := 0
	for range firstAttempts {
		b.RecordFirstAttempt()
		attempts++
		for range 3 {
			if b.Allow() {
				attempts++
			}
		}
	}
	c.Assert(float64(attempts)/firstAttempts <= 1.2, qt.IsTrue, qt.Commentf("%d attempts", attempts))
}
