package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// RouteName names a route.
type RouteName string

// RouteKind determines how often a request of a route may run.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once for each request of a client.
	RouteOnce RouteKind = "once"
	// RouteStream requests have a series of events as their response. They run at most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Backend is a service that receives a part of a route's requests.
type Backend struct {
	Service ServiceName `json:"service" yaml:"service"`
	// Weight is the service's part of the requests relative to the other back ends.
	Weight int `json:"weight" yaml:"weight"`
}

// Route maps requests by host and path prefix to services and defines how they are handled.
type Route struct {
	Host       string    `json:"host" yaml:"host"`
	PathPrefix string    `json:"path_prefix" yaml:"path_prefix"`
	Backends   []Backend `json:"backends" yaml:"backends"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// Resumable reports whether a stream may continue at another upstream after its last event.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
	// Attempts limits the number of upstreams that may run one request.
	Attempts int `json:"attempts" yaml:"attempts"`
	// Timeout limits how long a client waits.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
	// Objective is the target time for a response or for the first event of a stream.
	Objective time.Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// PauseObjective is the target for the longest pause between two events of a stream.
	PauseObjective time.Duration `json:"pause_objective,omitempty" yaml:"pause_objective,omitempty"`
	// Rank is the urgency of the route's requests. 0 is the most urgent.
	Rank int `json:"rank,omitempty" yaml:"rank,omitempty"`
	// Public routes need no API key.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
	// Affinity reports whether the upstreams cache the prompts of the route's requests.
	Affinity bool `json:"affinity,omitempty" yaml:"affinity,omitempty"`
}

// Repeatable reports whether a request may run again after a run whose result is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// KeyDigest is the SHA-256 digest of an API key in hexadecimal. The key itself is not stored.
type KeyDigest string

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// ClientLimits bounds what a client may send, how long its header may take and how long it may stay idle.
type ClientLimits struct {
	HeaderBytes int           `json:"header_bytes" yaml:"header_bytes"`
	BodyBytes   int64         `json:"body_bytes" yaml:"body_bytes"`
	HeaderTime  time.Duration `json:"header_time" yaml:"header_time"`
	IdleTime    time.Duration `json:"idle_time" yaml:"idle_time"`
}

func defaultClientLimits(l ClientLimits) ClientLimits {
	setDefault(&l.HeaderBytes, DefaultHeaderBytes)
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.HeaderTime, DefaultHeaderTime)
	setDefault(&l.IdleTime, DefaultIdleTime)
	return l
}

func defaultRoute(r Route) Route {
	setDefault(&r.Attempts, 1)
	setDefault(&r.Timeout, DefaultDeadline)
	setDefault(&r.Kind, RouteOnce)
	return r
}
