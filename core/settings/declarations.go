package settings

import "time"

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Priority is the priority class in which a request waits for an engine.
type Priority string

// The priority classes, most urgent first.
const (
	PriorityUrgent  Priority = "urgent"
	PriorityNormal  Priority = "normal"
	PriorityPatient Priority = "patient"
)

// Priorities lists the priority classes, most urgent first.
var Priorities = []Priority{PriorityUrgent, PriorityNormal, PriorityPatient}

// Profile defines how one kind of request is handled.
type Profile struct {
	Description string        `json:"description" yaml:"description"`
	Service     ServiceName   `json:"service" yaml:"service"`
	Priority    Priority      `json:"priority" yaml:"priority"`
	Deadline    time.Duration `json:"deadline" yaml:"deadline"`
	Idempotent  bool          `json:"idempotent" yaml:"idempotent"`
	Retries     int           `json:"retries" yaml:"retries"`
	// ExpectedTokens is the response length assumed until there is an estimate from the profile's own responses.
	ExpectedTokens Tokens `json:"expected_tokens" yaml:"expected_tokens"`
}

// Service declares a model or a plain service.
type Service struct {
	Description string      `json:"description" yaml:"description"`
	Kind        ServiceKind `json:"kind" yaml:"kind"`
	Model       string      `json:"model" yaml:"model"`
	// Multiple limits the load of one engine, as a multiple of the mean load.
	Multiple float64 `json:"multiple" yaml:"multiple"`
	// MaxRunning limits the requests that one upstream runs at a time.
	MaxRunning int `json:"max_running" yaml:"max_running"`
	// MaxQueued limits the requests that wait at one side.
	MaxQueued int `json:"max_queued" yaml:"max_queued"`
	// KeyLifetime is how long a side stores the outcome of an idempotency key or ticket.
	KeyLifetime time.Duration `json:"key_lifetime" yaml:"key_lifetime"`
	// PrefillRate is the number of prompt tokens that one engine processes per second.
	PrefillRate Tokens `json:"prefill_rate" yaml:"prefill_rate"`
	// DecodeRate is the number of response tokens that one stream receives per second.
	DecodeRate Tokens `json:"decode_rate" yaml:"decode_rate"`
	// CacheTokens is the size of one engine's prefix cache in tokens.
	CacheTokens Tokens `json:"cache_tokens" yaml:"cache_tokens"`
	// KVTransfer reports whether the engines export and import KV cache.
	KVTransfer bool `json:"kv_transfer" yaml:"kv_transfer"`
	// MaxConnections limits the connections of all routers together to one upstream, 0 for no limit.
	MaxConnections int `json:"max_connections,omitempty" yaml:"max_connections,omitempty"`
	// ColdTime is how long an upstream is cold after its start or its return, and ColdRate the number of requests a second that it bears
	// meanwhile, 0 for no limit.
	ColdTime time.Duration `json:"cold_time,omitempty" yaml:"cold_time,omitempty"`
	ColdRate float64       `json:"cold_rate,omitempty" yaml:"cold_rate,omitempty"`
}

// Upstream declares one upstream. Side is the peer address of its side process.
type Upstream struct {
	Service    ServiceName `json:"service" yaml:"service"`
	DataCentre DataCentre  `json:"data_centre" yaml:"data_centre"`
	Side       string      `json:"side" yaml:"side"`
	// Destroyed is set by the operators when the VM no longer exists and cannot resume.
	Destroyed bool `json:"destroyed" yaml:"destroyed"`
}

// Team declares a team of callers.
type Team struct {
	Description string `json:"description" yaml:"description"`
	// Share is the team's weight in the fair queue of a busy engine.
	Share int `json:"share" yaml:"share"`
	// MaxOpen limits the team's open requests at one router.
	MaxOpen int `json:"max_open" yaml:"max_open"`
	// Keys are the digests of the API keys that identify the team's clients.
	Keys []KeyDigest `json:"keys,omitempty" yaml:"keys,omitempty"`
	// Rank takes precedence over the rank of a route, if it is set.
	Rank *int `json:"rank,omitempty" yaml:"rank,omitempty"`
}

// Declarations is a complete set of declarations.
type Declarations struct {
	Profiles  map[ProfileName]Profile `yaml:"profiles"`
	Services  map[ServiceName]Service `yaml:"services"`
	Upstreams map[UpstreamID]Upstream `yaml:"upstreams"`
	Teams     map[TeamID]Team         `yaml:"teams"`
	// Routes and Limits apply to clients that are routed by host and path.
	Routes map[RouteName]Route         `yaml:"routes"`
	Limits map[LimitsName]ClientLimits `yaml:"limits"`
}

// LimitsName names a set of limits. Only ClientLimitsName is used.
type LimitsName string

// ClientLimitsName is the name under which the limits for clients are declared.
const ClientLimitsName LimitsName = "clients"

// ClientLimits returns the limits for clients, with defaults where none are declared.
func (d *Declarations) ClientLimits() ClientLimits {
	return defaultClientLimits(d.Limits[ClientLimitsName])
}

// UpstreamsOf returns the declared upstreams of a service that are not destroyed, in no particular order.
func (d *Declarations) UpstreamsOf(name ServiceName) []UpstreamID {
	return d.upstreamsOf(name, false)
}

// DestroyedOf returns the declared upstreams of a service that are destroyed, in no particular order.
func (d *Declarations) DestroyedOf(name ServiceName) []UpstreamID {
	return d.upstreamsOf(name, true)
}

func (d *Declarations) upstreamsOf(name ServiceName, destroyed bool) []UpstreamID {
	var ids []UpstreamID
	for id, u := range d.Upstreams {
		if u.Service == name && u.Destroyed == destroyed {
			ids = append(ids, id)
		}
	}
	return ids
}
