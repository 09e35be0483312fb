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

// lateService is ready when release is closed, and records its end only, since it starts beside others.
type lateService struct {
	events  *[]string
	release chan struct{}
}

func (l *lateService) String() string { return "late" }

func (l *lateService) Run(ctx context.Context, ready func()) error {
	<-l.release
	ready()
	<-ctx.Done()
	*l.events = append(*l.events, "stop late")
	return nil
}

// TestServiceThatIsReadyLateStopsBeforeItsUsers guards against stopping a service before those that need it until their end, since they start
// before it is ready.
func TestServiceThatIsReadyLateStopsBeforeItsUsers(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	var events []string
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	runs, waits := Split(&lateService{events: &events, release: release})
	k := &Kernel{}
	k.Add(runs, &hook{run: func() { close(release) }}, &recorder{name: "user", events: &events}, waits, &hook{run: cancel})
	c.Assert(k.Run(ctx), qt.IsNil)
	c.Assert(events[len(events)-2:], qt.DeepEquals, []string{"stop user", "stop late"})
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
