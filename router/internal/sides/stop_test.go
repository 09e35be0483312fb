package sides

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
)

// doneSide answers each submission with an empty answer.
type doneSide struct{}

func (doneSide) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	submit, ok := m.(*peer.Submit)
	if !ok {
		return
	}
	_ = st.Send(ctx, &peer.Head{Status: 200})
	_ = st.Send(ctx, &peer.End{Attempt: submit.Attempt, Outcome: peer.OutcomeDone})
}

// startSide runs a side until stop is called, which waits for its end.
func startSide(t *testing.T, id string, h peer.Handler) (address string, stop func()) {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address = ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	l := &peer.Listener{Address: address, Endpoint: newTestEndpoint(t, id, h), IdleTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- l.Run(ctx, func() { close(ready) }) }()
	<-ready
	stop = sync.OnceFunc(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	t.Cleanup(stop)
	return address, stop
}

func newTestEndpoint(t *testing.T, id string, h peer.Handler) *peer.Endpoint {
	t.Helper()
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	qt.Assert(t, err, qt.IsNil)
	return &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, ID: id, Incarnation: peer.Incarnation(id)}
		},
		Handler: h,
		Allow:   allow,
	}
}

// silentSide accepts submissions and sends nothing more.
type silentSide struct{}

func (silentSide) Serve(ctx context.Context, st *peer.Stream, _ peer.Message) {
	_ = st.Send(ctx, &peer.Accept{})
	<-ctx.Done()
}

// discardSink drops the answer.
type discardSink struct{}

func (discardSink) WriteHead(int, []peer.Header, settings.UpstreamID) error { return nil }

func (discardSink) Write([]byte, bool) error { return nil }

// newTestDispatcher returns a dispatcher for a plain service with the given upstreams.
func newTestDispatcher(t *testing.T, upstreams map[settings.UpstreamID]settings.Upstream) *Dispatcher {
	t.Helper()
	view := &View{Clock: clock.Boot{}}
	view.ApplyDeclarations(revision.Change{Complete: true, Declarations: &settings.Declarations{
		Services:  map[settings.ServiceName]settings.Service{"fees": {Kind: settings.KindPlain}},
		Upstreams: upstreams,
	}})
	d := &Dispatcher{
		View: view, Endpoint: newTestEndpoint(t, "router", doneSide{}), Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope,
	}
	t.Cleanup(d.Endpoint.Close)
	return d
}

// TestCallEndedByStopIsTakenForCallerGone guards against an answer that does not say why a call has ended.
func TestCallEndedByStopIsTakenForCallerGone(t *testing.T) {
	for name, key := range map[string]string{"without key": "", "with key": "k"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startSide(t, "silent", silentSide{})
			d := newTestDispatcher(t, map[settings.UpstreamID]settings.Upstream{"silent": {Service: "fees", Side: address}})
			ctx, end := context.WithCancelCause(context.Background())
			time.AfterFunc(50*time.Millisecond, func() { end(&shutdown.EndedError{}) })
			call := &Call{Profile: settings.Profile{Service: "fees"}, Key: key, Deadline: clock.Boot{}.Now().Add(5 * time.Second)}
			result := d.Do(ctx, call, discardSink{})
			c.Assert(result.Outcome, qt.Equals, peer.OutcomeUnknown)
			c.Assert(result.Code, qt.Equals, "stopping")
		})
	}
}

// TestCallThatCrossesEndOfSideIsInDoubt guards against a final failure of a call that may not be repeated, because its submission crossed the
// end of a stopping side's link.
func TestCallThatCrossesEndOfSideIsInDoubt(t *testing.T) {
	const callers = 16
	c := qt.New(t)
	for range 10 {
		leaving, stop := startSide(t, "leaving", doneSide{})
		staying, _ := startSide(t, "staying", doneSide{})
		d := newTestDispatcher(t, map[settings.UpstreamID]settings.Upstream{
			"leaving": {Service: "fees", Side: leaving}, "staying": {Service: "fees", Side: staying},
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		var stopped atomic.Bool
		var wg sync.WaitGroup
		for range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for !stopped.Load() {
					call := &Call{Profile: settings.Profile{Service: "fees"}, Deadline: clock.Boot{}.Now().Add(5 * time.Second)}
					result := d.Do(ctx, call, discardSink{})
					c.Check(result.Outcome, qt.Equals, peer.OutcomeDone, qt.Commentf("%+v", result))
				}
			}()
		}
		time.Sleep(20 * time.Millisecond)
		stop()
		stopped.Store(true)
		wg.Wait()
		cancel()
	}
}
