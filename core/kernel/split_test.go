package kernel

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// TestFailureOfSplitServiceHoldsUpStart guards against a process that waits for a service that has failed before it was ready.
func TestFailureOfSplitServiceHoldsUpStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var events []string
	broken := errors.New("broken")
	runs, waits := Split(&recorder{name: "late", events: &events, fail: broken})
	k := &Kernel{}
	k.Add(runs, &recorder{name: "between", events: &events}, waits)
	err := k.Run(ctx)
	c.Check(errors.Is(err, broken), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(ctx.Err(), qt.IsNil)
}
