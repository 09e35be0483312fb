package app

import (
	"context"
	"net/http"
	"time"

	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/settings"
)

// readiness answers the load balancer's readiness checks.
type readiness struct {
	address, path string
	ready         func() bool
	limit         *httplisten.Limit
}

const (
	// readinessStopTimeout bounds the wait for open checks when the process stops.
	readinessStopTimeout = 100 * time.Millisecond
	// readinessTimeout bounds the reading and the writing of a check.
	readinessTimeout = 10 * time.Second
)

// String returns the service's name.
func (r *readiness) String() string { return "readiness" }

// Run serves until ctx ends.
func (r *readiness) Run(ctx context.Context, ready func()) error {
	srv := &http.Server{
		Handler: r, ReadHeaderTimeout: settings.DefaultHeaderTime, ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout,
		IdleTimeout: settings.DefaultIdleTime, MaxHeaderBytes: settings.DefaultHeaderBytes,
	}
	return operator.ServeHTTP(ctx, srv, r.address, r.limit, operator.Stop{Time: readinessStopTimeout}, ready)
}

// ServeHTTP answers one readiness check.
func (r *readiness) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path != r.path:
		w.WriteHeader(http.StatusNotFound)
	case !r.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
