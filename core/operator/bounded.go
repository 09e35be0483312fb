package operator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the log.
const (
	// maxLinesPerSecond bounds the lines that one process writes, and maxBurst what may come at once.
	maxLinesPerSecond = 150
	maxBurst          = 600
	// queueLines is the number of lines that wait for a slow reader of the log.
	queueLines = 1024
	// flushInterval is how long a line may wait for others to be written with it.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter writes log lines beside the caller: it never blocks, and it drops and counts the lines above its rate.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	allowed float64
	last    time.Time
	dropped int
	done    chan struct{}
	stopped bool
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out: out, lines: make(chan []byte, queueLines), allowed: maxBurst, last: time.Now(), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return w.out.Write(line)
	}
	n := len(line)
	now := time.Now()
	w.allowed = min(maxBurst, w.allowed+maxLinesPerSecond*now.Sub(w.last).Seconds())
	w.last = now
	if w.allowed < 1 || len(w.lines) == cap(w.lines) {
		w.dropped++
		return n, nil
	}
	w.allowed--
	if w.dropped > 0 {
		line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", w.dropped), line...)
		w.dropped = 0
	} else {
		line = append([]byte(nil), line...)
	}
	w.lines <- line
	return n, nil
}

// run writes what is queued, several lines at a time.
func (w *BoundedWriter) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		if _, err := w.out.Write(batch); err != nil {
			// There is no other place to report that the log cannot be written.
			continue
		}
		time.Sleep(flushInterval)
	}
}

// Close writes what is queued; later lines are written at once.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	if !w.stopped {
		w.stopped = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
