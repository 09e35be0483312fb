package kernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is one named component of a process. Run calls ready when the service can be used and returns after ctx ends.
type Service interface {
	fmt.Stringer
	Run(ctx context.Context, ready func()) error
}

// MissingServiceError reports a lookup of a service that does not exist or has another type.
type MissingServiceError struct {
	Name string
}

func (e *MissingServiceError) Error() string {
	return "no usable service named " + e.Name
}

// Kernel runs the services of one process. Its zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services []Service
}

// Add appends a service to the start order.
func (k *Kernel) Add(services ...Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.services = append(k.services, services...)
}

// Lookup returns the service with the given name as T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		if s.String() != name {
			continue
		}
		if t, ok := s.(T); ok {
			return t, nil
		}
	}
	var zero T
	return zero, &MissingServiceError{Name: name}
}

// running is a started service with its cancel function and its result.
type running struct {
	service Service
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Run starts every service in order, waits until ctx ends or a service fails, and stops them in reverse order.
func (k *Kernel) Run(ctx context.Context) error {
	k.mu.Lock()
	services := append([]Service(nil), k.services...)
	k.mu.Unlock()

	failed := make(chan *running, len(services))
	var started []*running
	var cause error
	for _, s := range services {
		r, err := start(ctx, s, failed)
		if r != nil {
			started = append(started, r)
		}
		if err != nil {
			cause = err
			break
		}
	}
	if cause == nil {
		cause = wait(ctx, failed)
	}
	return errors.CombineErrors(cause, stop(started))
}

// start runs s and returns when it is ready, has failed, or ctx has ended.
func start(ctx context.Context, s Service, failed chan<- *running) (*running, error) {
	// Each service has its own context, so that the end of ctx does not stop all services at once but in reverse order.
	serviceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &running{service: s, cancel: cancel, done: make(chan struct{})}
	ready := make(chan struct{})
	var once sync.Once
	go func() {
		r.err = s.Run(serviceCtx, func() { once.Do(func() { close(ready) }) })
		close(r.done)
		failed <- r
	}()
	select {
	case <-ready:
		return r, nil
	case <-r.done:
		return r, errors.Wrapf(exitCause(r), "starting %s", s)
	case <-ctx.Done():
		return r, nil
	}
}

func wait(ctx context.Context, failed <-chan *running) error {
	select {
	case <-ctx.Done():
		return nil
	case r := <-failed:
		return errors.Wrapf(exitCause(r), "running %s", r.service)
	}
}

// exitCause returns why a service returned without being stopped.
func exitCause(r *running) error {
	if r.err != nil {
		return r.err
	}
	return errors.New("service returned without being stopped")
}

func stop(started []*running) error {
	var combined error
	for i := len(started) - 1; i >= 0; i-- {
		r := started[i]
		r.cancel()
		<-r.done
		if r.err == nil || errors.Is(r.err, context.Canceled) {
			continue
		}
		combined = errors.CombineErrors(combined, errors.Wrapf(r.err, "stopping %s", r.service))
	}
	return combined
}
