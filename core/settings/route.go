package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// RouteName names a route.
type RouteName string

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once for each request of a client.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a series of events; they run at most once unless they can be resumed.
	RouteStream RouteKind = "stream"
)

// Backend is a service that gets a part of a route's requests.
type Backend struct {
	Service ServiceName `json:"service" yaml:"service"`
	// Weight is the part of the requests relative to the other back ends.
	Weight int `json:"weight" yaml:"weight"`
}

// Route maps requests by host and path prefix to services and says how they are treated.
type Route struct {
	Host       string    `json:"host" yaml:"host"`
	PathPrefix string    `json:"path_prefix" yaml:"path_prefix"`
	Backends   []Backend `json:"backends" yaml:"backends"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// Resumable says that a stream may go on at another upstream after its last event.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int `json:"attempts" yaml:"attempts"`
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
	// Objective is the time within which an answer, or the first event of a stream, should be there.
	Objective time.Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// PauseObjective is the longest pause between two events of a stream that is still on time.
	PauseObjective time.Duration `json:"pause_objective,omitempty" yaml:"pause_objective,omitempty"`
	// Rank is the route's urgency; 0 is the most urgent.
	Rank int `json:"rank,omitempty" yaml:"rank,omitempty"`
	// Public routes need no API key.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
	// Affinity says that the upstreams cache the prompts of the route's requests.
	Affinity bool `json:"affinity,omitempty" yaml:"affinity,omitempty"`
}

// Repeatable reports whether a request may run again after a run whose result is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// KeyDigest is the SHA-256 digest of an API key in hexadecimal; the key itself is not kept.
type KeyDigest string

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// ClientLimits bounds what a client may send and how long it may stay idle.
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
