package operator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of the log.
const (
	// maxLinesPerSecond limits the average rate of one process's lines, and maxBurst the lines written at once.
	maxLinesPerSecond = 150
	maxBurst          = 600
	// maxQueuedLines is the number of lines that may wait for a slow reader of the log.
	maxQueuedLines = 1024
	// flushInterval is the pause between writes, in which lines gather for the next one.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter writes log lines in the background, so that Write does not block on a slow reader of the log. It drops the
// lines above its rate and those that find its queue full, and logs their number.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte

	mu sync.Mutex
	// tokens is the number of lines that may be written now, in the manner of a token bucket.
	tokens  float64
	last    time.Time
	dropped int
	done    chan struct{}
	stopped bool
}

// NewBoundedWriter returns a writer to out and starts its goroutine, which runs until Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), tokens: maxBurst, last: time.Now(), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops and counts it. It returns the full length in both cases.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return w.out.Write(line)
	}
	n := len(line)
	now := time.Now()
	w.tokens = min(maxBurst, w.tokens+maxLinesPerSecond*now.Sub(w.last).Seconds())
	w.last = now
	if w.tokens < 1 || len(w.lines) == cap(w.lines) {
		w.dropped++
		return n, nil
	}
	w.tokens--
	if w.dropped > 0 {
		line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", w.dropped), line...)
		w.dropped = 0
	} else {
		line = append([]byte(nil), line...)
	}
	w.lines <- line
	return n, nil
}

// run writes the queued lines in batches until the queue is closed.
func (w *BoundedWriter) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		if _, err := w.out.Write(batch); err != nil {
			// A failed write of the log cannot be reported anywhere else.
			continue
		}
		time.Sleep(flushInterval)
	}
}

// Close writes the queued lines. Later lines are written synchronously.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	if !w.stopped {
		w.stopped = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
