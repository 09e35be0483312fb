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

// Timeouts of starting and stopping a process.
const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 40 * time.Second
)

// Process is one process of the fleet, which can be restarted.
type Process struct {
	Name string
	// ReadyURL is the URL that responds with status 200 once the process is ready.
	ReadyURL string

	path string
	args []string
	// descriptors limits the open files, 0 for no limit.
	descriptors int

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

// Launch starts the process without waiting until it is ready.
func (p *Process) Launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	if p.descriptors > 0 {
		limited := []string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, p.descriptors), p.path}
		cmd = exec.Command("sh", append(limited, p.args...)...)
	}
	cmd.Stdout, cmd.Stderr = &logWriter{p: p}, &logWriter{p: p}
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

// logWriter appends the output of a process to its log.
type logWriter struct {
	p *Process
}

func (w *logWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(b)
}

// Log returns the output of the process so far, including that of earlier starts.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WaitReady waits until the process reports that it is ready.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
		case <-time.After(readyPollInterval):
		}
	}
}

func (p *Process) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ReadyURL, nil)
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

// Pause sends SIGSTOP and waits until the kernel has stopped the process.
func (p *Process) Pause(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "pausing %s", p.Name)
	}
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			return errors.Wrapf(err, "reading the state of %s", p.Name)
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

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error unless the process exits with code 0 in
// time; a process that takes longer is killed.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "stopping %s", p.Name)
	}
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.Kill()
		return errors.Newf("%s did not stop", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.err, "%s ended", p.Name)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Restart stops the process cleanly and starts it again.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Stop(); err != nil {
		return err
	}
	return p.Start(ctx)
}
