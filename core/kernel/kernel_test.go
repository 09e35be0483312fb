package kernel

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

type recorder struct {
	name   string
	events *[]string
	fail   error
}

func (r *recorder) String() string { return r.name }

func (r *recorder) Run(ctx context.Context, ready func()) error {
	if r.fail != nil {
		return r.fail
	}
	*r.events = append(*r.events, "start "+r.name)
	ready()
	<-ctx.Done()
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

func TestRunStartsInOrderAndStopsInReverse(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	var events []string
	ctx, cancel := context.WithCancel(context.Background())
	k := &Kernel{}
	k.Add(&recorder{name: "a", events: &events}, &recorder{name: "b", events: &events})
	k.Add(&hook{run: cancel})
	c.Assert(k.Run(ctx), qt.IsNil)
	c.Assert(events, qt.DeepEquals, []string{"start a", "start b", "stop b", "stop a"})
}

func TestRunStopsStartedServicesWhenOneFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	var events []string
	broken := errors.New("broken")
	k := &Kernel{}
	k.Add(&recorder{name: "a", events: &events}, &recorder{name: "b", events: &events, fail: broken})
	err := k.Run(context.Background())
	c.Assert(errors.Is(err, broken), qt.IsTrue)
	c.Assert(events, qt.DeepEquals, []string{"start a", "stop a"})
}

func TestLookupFindsByNameAndType(t *testing.T) {
	c := qt.New(t)
	k := &Kernel{}
	k.Add(&recorder{name: "a"})
	got, err := Lookup[*recorder](k, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(got.name, qt.Equals, "a")
	_, err = Lookup[*hook](k, "a")
	var missing *MissingServiceError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
}

type hook struct{ run func() }

func (h *hook) String() string { return "hook" }

func (h *hook) Run(ctx context.Context, ready func()) error {
	ready()
	h.run()
	<-ctx.Done()
	return nil
}
