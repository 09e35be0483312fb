package retry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTotalFailureAddsLittleLoad(t *testing.T) {
	c := qt.New(t)
	var b Budget
	const first = 10_000
	attempts := 0
	for range first {
		b.RecordFirstAttempt()
		attempts++
		for range 3 {
			if b.Allow() {
				attempts++
			}
		}
	}
	c.Assert(float64(attempts)/first <= 1.2, qt.IsTrue, qt.Commentf("%d attempts", attempts))
}
