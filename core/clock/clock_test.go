package clock

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(Sleep(ctx, time.Millisecond), qt.IsTrue)
	cancel()
	c.Assert(Sleep(ctx, time.Hour), qt.IsFalse)
}
