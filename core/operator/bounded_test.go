package operator

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// buffer is a log that can be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestLinesAboveTheRateAreCounted replays a burst of lines; each call must report the length that it was given.
func TestLinesAboveTheRateAreCounted(t *testing.T) {
	c := qt.New(t)
	var out buffer
	w := NewBoundedWriter(&out)
	line := []byte("{\"msg\":\"x\"}\n")
	for range 5 * maxBurst {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	w.mu.Lock()
	dropped := w.dropped
	w.allowed = 1
	w.mu.Unlock()
	c.Assert(dropped > 0, qt.IsTrue)
	n, err := w.Write(line)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, len(line))
	w.Close()
	c.Assert(strings.Contains(out.String(), fmt.Sprintf("\"lines\":%d}", dropped)), qt.IsTrue)
}

// stuck is a log whose reader has stopped.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestWritersDoNotWaitForTheLog(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	for range 2 * queueLines {
		_, _ = w.Write([]byte("x\n"))
	}
	close(out.release)
	w.Close()
}
