package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of starting and stopping processes.
const (
	readyLimit = 20 * time.Second
	readyPoll  = 20 * time.Millisecond
	stopLimit  = 40 * time.Second
)

// Process is one process of the fleet.
type Process struct {
	Name string
	// Ready is the URL that answers 200 once the process can be used.
	Ready string

	path string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  bytes.Buffer
}

// Start starts the process and waits until it is ready.
func (p *Process) Start(ctx context.Context) error {
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// Launch starts the process and does not wait for it.
func (p *Process) Launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = &lockedWriter{p: p}, &lockedWriter{p: p}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", p.Name)
	}
	p.cmd = cmd
	done := make(chan struct{})
	p.done = done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// lockedWriter keeps a process's log.
type lockedWriter struct {
	p *Process
}

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(b)
}

// Log returns what the process has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WaitReady waits until the process answers that it is ready.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		if p.isReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s is not ready: %s", p.Name, p.Log())
		case <-p.done:
			return errors.Newf("%s ended: %s", p.Name, p.Log())
		case <-time.After(readyPoll):
		}
	}
}

func (p *Process) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Ready, nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

// Pause stops the process as SIGSTOP does, and waits until the kernel has done so.
func (p *Process) Pause(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "pausing %s", p.Name)
	}
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			return errors.Wrapf(err, "looking at %s", p.Name)
		}
		if strings.Contains(string(stat), ") T ") {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// PID returns the id of the process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Stop asks the process to stop and waits for its clean end.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "stopping %s", p.Name)
	}
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		_ = p.Kill()
		return errors.Newf("%s did not stop", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.err, "%s ended", p.Name)
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Restart stops the process politely and starts it again.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Stop(); err != nil {
		return err
	}
	return p.Start(ctx)
}
