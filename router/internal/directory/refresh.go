package directory

import (
	"context"
	"time"
)

// refreshWait is how long a refresh waits for changes: it needs those that are there.
const refreshWait = time.Millisecond

// Refresh returns once a read of the directory has been applied that began after the call, so that nothing which others had learnt from it
// by then is missing here. It returns the error of the read or of ctx.
func (w *Watcher) Refresh(ctx context.Context) error {
	done := make(chan error, 1)
	w.mu.Lock()
	w.refreshes = append(w.refreshes, done)
	wake := w.wakeChannel()
	w.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wakeChannel returns the channel that interrupts Run. The caller holds the lock.
func (w *Watcher) wakeChannel() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

func (w *Watcher) takeRefreshes() []chan error {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.refreshes
	w.refreshes = nil
	return waiting
}

// refresh makes one call for those that wait. A failure does not count as a loss of the directory, which polls find out.
func (w *Watcher) refresh(ctx context.Context, waiting []chan error) {
	u, err := w.fetch(ctx, refreshWait)
	if err == nil {
		w.record(u)
	} else {
		w.Log.Warn("directory refresh failed", "error", err)
		w.Scope.Counter("directory_failures").Inc(1)
		w.complete = false
	}
	for _, done := range waiting {
		done <- err
	}
}

// interruptible returns a context that a refresh ends too.
func (w *Watcher) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	wake := w.wakeChannel()
	w.mu.Unlock()
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// pause waits for d, until a refresh is wanted or until ctx ends.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := w.interruptible(ctx)
	defer cancel()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
