package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// arrival is one run of a request at a runner.
type arrival struct {
	at      time.Time
	id      string
	runner  string
	version string
	prefix  string
	last    string
}

// record holds what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu       sync.Mutex
	began    time.Time
	w        *bufio.Writer
	f        *os.File
	arrivals []arrival
	crashes  []time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{began: time.Now(), f: f, w: bufio.NewWriter(f)}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run notes that a runner begins to work on a request, and returns the number of the run.
func (r *record) run(id string, at *runner, req *http.Request, body []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := arrival{at: time.Now(), id: id, runner: at.id, version: at.version,
		prefix: req.Header.Get("Prompt-Prefix"), last: req.Header.Get("Last-Event-Id")}
	r.arrivals = append(r.arrivals, a)
	n := 0
	for _, o := range r.arrivals {
		if o.id == id {
			n++
		}
	}
	r.line("request %s: run %d, at %s (%s), after event %q, left %s ms, body %d bytes", id, n, at.id, at.version, a.last,
		req.Header.Get("Deadline-Ms"), len(body))
	return n
}

func (r *record) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
