package operator

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// syncBuffer is a log that can be read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestLinesAboveTheRateAreCounted writes a burst of lines. Each call must return the length of its line, also if it was
// dropped.
func TestLinesAboveTheRateAreCounted(t *testing.T) {
	c := qt.New(t)
	var out syncBuffer
	w := NewBoundedWriter(&out)
	line := []byte("{\"msg\":\"x\"}\n")
	for range 5 * maxBurst {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	w.mu.Lock()
	dropped := w.dropped
	w.tokens = 1
	w.mu.Unlock()
	c.Assert(dropped > 0, qt.IsTrue)
	n, err := w.Write(line)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, len(line))
	w.Close()
	c.Assert(strings.Contains(out.String(), fmt.Sprintf("\"lines\":%d}", dropped)), qt.IsTrue)
}

// blockedWriter is a log whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestWriteDoesNotBlockOnASlowLog(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	for range 2 * maxQueuedLines {
		_, _ = w.Write([]byte("x\n"))
	}
	close(out.release)
	w.Close()
}
