package sides

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

type textSink struct {
	strings.Builder
	heads int
}

func (s *textSink) WriteHead(int, []peer.Header, settings.UpstreamID) error {
	s.heads++
	return nil
}

func (s *textSink) Write(data []byte, _ bool) error {
	_, err := s.Builder.Write(data)
	return err
}

func head(status int, contentType string) *peer.Head {
	return &peer.Head{Status: status, Headers: []peer.Header{{Name: "Content-Type", Value: contentType}}}
}

// TestErrorOfAnotherSideIsAddedToStream guards against the text of an error in the middle of a stream that another side should continue.
func TestErrorOfAnotherSideIsAddedToStream(t *testing.T) {
	tests := []struct {
		name string
		next *peer.Head
		ok   bool
	}{
		{"events", head(200, "text/event-stream"), true},
		{"error", head(500, "text/event-stream"), false},
		{"other content", head(200, "application/json"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			sink := &textSink{}
			p := &progress{sink: sink, stream: true}
			c.Assert(p.setHead(head(200, "text/event-stream")), qt.IsNil)
			c.Assert(p.writeChunk([]byte("data: 1\n\n"), true), qt.IsNil)
			p.discardUnsent()
			err := p.setHead(tt.next)
			c.Assert(err == nil, qt.Equals, tt.ok, qt.Commentf("%v", err))
			c.Assert(sink.heads, qt.Equals, 1)
		})
	}
}

// TestPartOfBodyIsWrittenToStreamingCaller guards against an answer that is no stream and is written before it is complete: if it breaks off, the
// text of an error or another run's body follows, and the caller sees a proper end.
func TestPartOfBodyIsWrittenToStreamingCaller(t *testing.T) {
	for _, status := range []int{200, 500} {
		c := qt.New(t)
		sink := &textSink{}
		p := &progress{sink: sink, stream: true, clock: clock.Boot{}}
		c.Assert(p.setHead(head(status, "application/json")), qt.IsNil)
		c.Assert(p.writeChunk([]byte(`{"run":1,`), true), qt.IsNil)
		c.Check(sink.String(), qt.Equals, "")
		p.discardUnsent()
		c.Assert(p.setHead(head(status, "application/json")), qt.IsNil)
		c.Assert(p.writeChunk([]byte(`{"run":2}`), true), qt.IsNil)
		c.Assert(p.finish(), qt.IsNil)
		c.Check(sink.String(), qt.Equals, `{"run":2}`)
		c.Check(sink.heads, qt.Equals, 1)
	}
}
