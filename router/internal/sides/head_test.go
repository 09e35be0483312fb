package sides

import (
	"context"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// sayingSide answers with the given messages.
type sayingSide []peer.Message

func (s sayingSide) Serve(ctx context.Context, st *peer.Stream, _ peer.Message) {
	for _, m := range s {
		_ = st.Send(ctx, m)
	}
}

// statusSink keeps the statuses that are written. Without one, net/http writes 200.
type statusSink struct {
	textSink
	statuses []int
}

func (s *statusSink) WriteHead(status int, _ []peer.Header, _ settings.UpstreamID) error {
	s.statuses = append(s.statuses, status)
	return nil
}

// relayFrom relays what a side says and returns how the attempt ended.
func relayFrom(t *testing.T, stream bool, messages ...peer.Message) (attemptResult, *statusSink) {
	t.Helper()
	c := qt.New(t)
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	c.Assert(err, qt.IsNil)
	hello := func() peer.Hello { return peer.Hello{Protocol: peer.ProtocolVersion, ID: "test"} }
	side := &peer.Endpoint{LocalHello: hello, Handler: sayingSide(messages), Allow: allow}
	router := &peer.Endpoint{LocalHello: hello, Handler: quietSide{}, Allow: allow}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- side.Listen(ctx, ln) }()
	defer func() {
		cancel()
		router.Close()
		side.Close()
		c.Check(<-done, qt.IsNil)
	}()
	link, err := router.Dial(ctx, ln.Addr().String())
	c.Assert(err, qt.IsNil)
	st, err := link.Open(ctx, &peer.Submit{})
	c.Assert(err, qt.IsNil)
	defer st.Close()
	sink := &statusSink{}
	d := &Dispatcher{Clock: clock.Boot{}}
	prog := &progress{sink: sink, stream: stream, clock: clock.Boot{}}
	res := d.relay(ctx, &Call{}, prog, st)
	if res.ending == endDone {
		c.Assert(prog.finish(), qt.IsNil)
	}
	return res, sink
}

// TestInvalidStatusOfSideIsWritten guards against a status that net/http cannot write, or that is not the last one of an answer.
func TestInvalidStatusOfSideIsWritten(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 100, 101, 103, 199, 600, 999, 1000} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d stream %v", status, stream), func(t *testing.T) {
				res, sink := relayFrom(t, stream,
					&peer.Accept{}, &peer.Head{Status: status}, &peer.Chunk{Seq: 1, Data: []byte("a")},
					&peer.End{Outcome: peer.OutcomeDone, Chunks: 1})
				qt.Assert(t, sink.statuses, qt.HasLen, 0)
				qt.Assert(t, sink.String(), qt.Equals, "")
				qt.Assert(t, res.ending, qt.Equals, endInterrupted)
			})
		}
	}
}

// TestAnswerWithoutStatusIsSuccess guards against parts that are written without a status, which net/http writes as 200.
func TestAnswerWithoutStatusIsSuccess(t *testing.T) {
	tests := []struct {
		name     string
		messages []peer.Message
	}{
		{"chunk", []peer.Message{&peer.Chunk{Seq: 1, Data: []byte("a")}, &peer.End{Outcome: peer.OutcomeDone, Chunks: 1}}},
		{"end", []peer.Message{&peer.End{Outcome: peer.OutcomeDone}}},
	}
	for _, tt := range tests {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream %v", tt.name, stream), func(t *testing.T) {
				res, sink := relayFrom(t, stream, tt.messages...)
				qt.Assert(t, res.ending, qt.Equals, endInterrupted)
				qt.Assert(t, sink.String(), qt.Equals, "")
			})
		}
	}
}
