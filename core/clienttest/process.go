package clienttest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// sampleInterval is the time between two counts of a process's descriptors.
const sampleInterval = 10 * time.Millisecond

// Process measures a running process.
type Process struct {
	pid         int
	descriptors atomic.Int64
}

// Watch counts the descriptors of a process until the test ends.
func Watch(t testing.TB, pid int) *Process {
	t.Helper()
	p := &Process{pid: pid}
	stop := make(chan struct{})
	done := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		for {
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				p.descriptors.Store(max(p.descriptors.Load(), int64(len(open))))
			}
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return p
}

// Descriptors returns the largest number of open descriptors seen.
func (p *Process) Descriptors() int { return int(p.descriptors.Load()) }

// PeakMemory returns the largest resident memory in bytes that the process has had (VmHWM), or an error if it has ended.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, &EndedError{PID: p.pid}
}

// EndedError reports a process that has ended, so that it has no memory.
type EndedError struct {
	PID int
}

func (e *EndedError) Error() string { return fmt.Sprintf("process %d has ended", e.PID) }
