package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Router is the settings file of one router process.
type Router struct {
	ID         string     `yaml:"id"`
	DataCentre DataCentre `yaml:"data_centre"`
	// Caller is the listen address for callers, Operator the one for operators, and Peer the one for other processes.
	Caller   string `yaml:"caller"`
	Operator string `yaml:"operator"`
	Peer     string `yaml:"peer"`
	// Advertise is the address that other processes dial. It defaults to Peer.
	Advertise string `yaml:"advertise"`
	// Configuration and VMList are the base URLs of the platform's services.
	Configuration string   `yaml:"configuration"`
	VMList        string   `yaml:"vm_list"`
	Peers         []string `yaml:"peers"`
	Allow         []string `yaml:"allow"`
	// NoticeTime is how long a stopping router still accepts calls, so that the load balancer can notice that it stops.
	NoticeTime time.Duration `yaml:"notice_time"`
	// DrainTime is how long a stopping router then waits for open requests.
	DrainTime time.Duration `yaml:"drain_time"`
	// GraceTime is the time from the stop signal until the platform kills the process. If it is set, it limits NoticeTime,
	// and the remainder is the default of DrainTime.
	GraceTime time.Duration `yaml:"grace_time"`
	// MemoryMB is the memory of the VM for this process in MB, and Descriptors its open files, 0 if they are not known.
	MemoryMB    int64  `yaml:"memory_mb"`
	Descriptors int    `yaml:"descriptors"`
	Limits      Limits `yaml:"limits"`
	// PeerTLS is used between processes and CallerTLS for callers, who need no certificate. Each is used if it names files.
	PeerTLS   TLS `yaml:"peer_tls"`
	CallerTLS TLS `yaml:"caller_tls"`
	// Direct, if set, serves clients that are routed by host and path to upstreams without a side.
	Direct *Direct `yaml:"direct"`
}

// Direct is the settings of a router that sends requests to the upstreams itself.
type Direct struct {
	// Directory is the base URL of the platform's directory of declarations and instances.
	Directory string `yaml:"directory"`
	// Readiness is the address at which the load balancer checks whether the router accepts connections.
	Readiness string `yaml:"readiness"`
	// FirstStart reports that the whole system starts for the first time, so that no engine has cached anything.
	FirstStart bool `yaml:"first_start"`
	// MemoryMB is an older place of Router.MemoryMB.
	MemoryMB int64 `yaml:"memory_mb"`
	// Cores is the number of processor cores that the VM gives this process, 0 if it is not known.
	Cores float64 `yaml:"cores"`
	// RetryBudget limits the retries of all routers together.
	RetryBudget RetryBudget `yaml:"repeats"`
	// Cold limits the requests of all routers together to an upstream that is cold.
	Cold ColdLimits `yaml:"cold"`
}

// ColdLimits limits the requests that an upstream gets in a second while it is cold: Overage times the rate that its service names, plus
// Slack.
type ColdLimits struct {
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// RetryBudget limits how many requests all routers together send again, per service.
type RetryBudget struct {
	// Ratio is the number of retries per request, and Slack the number of additional retries, both within Window.
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// TLS names the files of a process's certificate, its key, and the authority that issues its peers' certificates.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Used reports whether any file is named.
func (t TLS) Used() bool { return t != TLS{} }

// Limits bounds what one router accepts from callers.
type Limits struct {
	HeaderBytes int           `yaml:"header_bytes"`
	BodyBytes   int64         `yaml:"body_bytes"`
	HeaderTime  time.Duration `yaml:"header_time"`
	IdleTime    time.Duration `yaml:"idle_time"`
	OpenCalls   int           `yaml:"open_calls"`
	// HeaderFields bounds the header fields of a request, and BodyTime the time that its body takes.
	HeaderFields int           `yaml:"header_fields"`
	BodyTime     time.Duration `yaml:"body_time"`
	// RequestMemory bounds the bytes that all requests together hold, and Connections the connections of callers.
	RequestMemory int64 `yaml:"request_memory"`
	Connections   int   `yaml:"connections"`
}

// Side is the settings file of one side process.
type Side struct {
	Upstream   UpstreamID `yaml:"upstream"`
	DataCentre DataCentre `yaml:"data_centre"`
	Peer       string     `yaml:"peer"`
	Operator   string     `yaml:"operator"`
	// URL is the base URL of the upstream beside this process.
	URL       string        `yaml:"url"`
	Peers     []string      `yaml:"peers"`
	Allow     []string      `yaml:"allow"`
	DrainTime time.Duration `yaml:"drain_time"`
	// MemoryMB is the memory of the VM for this process in MB, and Descriptors its open files, 0 if they are not known.
	MemoryMB    int64 `yaml:"memory_mb"`
	Descriptors int   `yaml:"descriptors"`
	// RequestMemory bounds the bytes that all requests together hold.
	RequestMemory int64 `yaml:"request_memory"`
	// PeerTLS is used between processes if it names files.
	PeerTLS TLS `yaml:"peer_tls"`
}

// Defaults of the process settings.
const (
	DefaultNoticeTime  = 2 * time.Second
	DefaultDrainTime   = 30 * time.Second
	DefaultHeaderBytes = 16 << 10
	DefaultBodyBytes   = 4 << 20
	DefaultHeaderTime  = 5 * time.Second
	DefaultIdleTime    = 60 * time.Second
	DefaultOpenCalls   = 4096
	// DefaultHeaderFields is about ten times what clients and load balancers send.
	DefaultHeaderFields = 256
	DefaultBodyTime     = 60 * time.Second
	// DefaultRequestMemory is used where the memory of the VM is not known.
	DefaultRequestMemory = 64 << 20
	// DefaultDescriptors is used where neither the settings nor the kernel name a limit.
	DefaultDescriptors = 4096

	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 10.0
	DefaultRetryWindow = 10 * time.Second

	DefaultColdOverage = 1.0
)

// Parts of the time between the stop signal and the kill.
const (
	// noticeDivisor limits NoticeTime to this part of GraceTime.
	noticeDivisor = 3
	// stopMargin is reserved for closing links and writing the last log lines.
	stopMargin = 300 * time.Millisecond
)

// Parts of a VM that callers may take. The rest is for what the process knows, for upstreams and for other processes.
const (
	// requestMemoryDivisor is the part of the memory that requests hold.
	requestMemoryDivisor = 5
	// connectionMemoryDivisor is the part of the memory that connections of callers take, at connectionBytes each: the buffers of net/http,
	// the stack of a goroutine, and the header of a request.
	connectionMemoryDivisor = 4
	connectionBytes         = 24 << 10
	// callerDescriptors, in hundredths, is the part of the descriptors that callers take. Each of their requests may need another one for its
	// upstream.
	callerDescriptors = 40
)

// requestMemory returns the default of the bytes that all requests together hold, on a VM with the given memory in MB.
func requestMemory(memoryMB int64) int64 {
	if memoryMB == 0 {
		return DefaultRequestMemory
	}
	return memoryMB << 20 / requestMemoryDivisor
}

// callerConnections returns the default of the connections of callers.
func callerConnections(descriptors int, memoryMB int64) int {
	n := max(1, descriptors*callerDescriptors/100)
	if memoryMB > 0 {
		n = min(n, max(1, int(memoryMB<<20/connectionMemoryDivisor/connectionBytes)))
	}
	return n
}

// DefaultAllow allows only processes on the same machine.
var DefaultAllow = []string{"127.0.0.0/8"}

// SetDefaults sets the fields that the file left out.
func (r *Router) SetDefaults() {
	setDefault(&r.NoticeTime, DefaultNoticeTime)
	if r.GraceTime > 0 {
		r.NoticeTime = min(r.NoticeTime, r.GraceTime/noticeDivisor)
		setDefault(&r.DrainTime, max(stopMargin, r.GraceTime-r.NoticeTime-stopMargin))
	}
	setDefault(&r.DrainTime, DefaultDrainTime)
	setDefault(&r.Advertise, r.Peer)
	setDefault(&r.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&r.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&r.Limits.HeaderTime, DefaultHeaderTime)
	setDefault(&r.Limits.IdleTime, DefaultIdleTime)
	setDefault(&r.Limits.OpenCalls, DefaultOpenCalls)
	setDefault(&r.Limits.HeaderFields, DefaultHeaderFields)
	setDefault(&r.Limits.BodyTime, DefaultBodyTime)
	if r.Direct != nil {
		setDefault(&r.MemoryMB, r.Direct.MemoryMB)
	}
	setDefault(&r.Descriptors, DefaultDescriptors)
	setDefault(&r.Limits.RequestMemory, requestMemory(r.MemoryMB))
	setDefault(&r.Limits.Connections, callerConnections(r.Descriptors, r.MemoryMB))
	if r.Direct != nil {
		setDefault(&r.Direct.RetryBudget.Ratio, DefaultRetryRatio)
		setDefault(&r.Direct.RetryBudget.Slack, DefaultRetrySlack)
		setDefault(&r.Direct.RetryBudget.Window, DefaultRetryWindow)
		setDefault(&r.Direct.Cold.Overage, DefaultColdOverage)
	}
	if len(r.Allow) == 0 {
		r.Allow = DefaultAllow
	}
}

// SetDefaults sets the fields that the file left out.
func (s *Side) SetDefaults() {
	setDefault(&s.DrainTime, DefaultDrainTime)
	setDefault(&s.Descriptors, DefaultDescriptors)
	setDefault(&s.RequestMemory, requestMemory(s.MemoryMB))
	if len(s.Allow) == 0 {
		s.Allow = DefaultAllow
	}
}

// Validate returns all faults in the router's settings.
func (r *Router) Validate(file string) Problems {
	c := &processChecker{file: file}
	c.name("id", r.ID)
	c.name("data_centre", string(r.DataCentre))
	c.address("caller", r.Caller)
	c.address("operator", r.Operator)
	c.address("peer", r.Peer)
	c.address("advertise", r.Advertise)
	if r.Direct == nil {
		c.url("configuration", r.Configuration)
		c.url("vm_list", r.VMList)
	} else {
		c.direct(r.Direct)
	}
	c.peers(r.Peers)
	c.networks(r.Allow)
	c.positive("notice_time", r.NoticeTime > 0, r.NoticeTime)
	c.positive("drain_time", r.DrainTime > 0, r.DrainTime)
	c.tls("peer_tls", r.PeerTLS, true)
	c.tls("caller_tls", r.CallerTLS, false)
	c.positive("limits.header_bytes", r.Limits.HeaderBytes > 0, r.Limits.HeaderBytes)
	c.positive("limits.body_bytes", r.Limits.BodyBytes > 0, r.Limits.BodyBytes)
	c.positive("limits.header_time", r.Limits.HeaderTime > 0, r.Limits.HeaderTime)
	c.positive("limits.idle_time", r.Limits.IdleTime > 0, r.Limits.IdleTime)
	c.positive("limits.open_calls", r.Limits.OpenCalls > 0, r.Limits.OpenCalls)
	c.positive("limits.header_fields", r.Limits.HeaderFields > 0, r.Limits.HeaderFields)
	c.positive("limits.body_time", r.Limits.BodyTime > 0, r.Limits.BodyTime)
	c.positive("limits.request_memory", r.Limits.RequestMemory > 0, r.Limits.RequestMemory)
	c.positive("limits.connections", r.Limits.Connections > 0, r.Limits.Connections)
	c.notNegative("memory_mb", r.MemoryMB)
	c.positive("descriptors", r.Descriptors > 0, r.Descriptors)
	return c.problems
}

// Validate returns all faults in the side's settings.
func (s *Side) Validate(file string) Problems {
	c := &processChecker{file: file}
	c.name("upstream", string(s.Upstream))
	c.name("data_centre", string(s.DataCentre))
	c.address("peer", s.Peer)
	c.address("operator", s.Operator)
	c.url("url", s.URL)
	c.peers(s.Peers)
	c.networks(s.Allow)
	c.tls("peer_tls", s.PeerTLS, true)
	c.positive("drain_time", s.DrainTime > 0, s.DrainTime)
	c.positive("request_memory", s.RequestMemory > 0, s.RequestMemory)
	c.notNegative("memory_mb", s.MemoryMB)
	c.positive("descriptors", s.Descriptors > 0, s.Descriptors)
	return c.problems
}

// processChecker collects the problems of one process's settings file.
type processChecker struct {
	file     string
	problems Problems
}

func (c *processChecker) add(field, found, allowed string) {
	c.problems = append(c.problems, Problem{File: c.file, Field: field, Found: found, Allowed: allowed})
}

func (c *processChecker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, quote(value), nameRule)
	}
}

func (c *processChecker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, quote(value), "an IP number and port, such as 10.0.0.7:7400")
	}
}

func (c *processChecker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(field, quote(value), "an http or https URL")
	}
}

func (c *processChecker) peers(values []string) {
	for i, v := range values {
		c.address(fmt.Sprintf("peers[%d]", i), v)
	}
}

func (c *processChecker) networks(values []string) {
	for i, v := range values {
		if _, err := netip.ParsePrefix(v); err != nil {
			c.add(fmt.Sprintf("allow[%d]", i), quote(v), "a network, such as 10.0.0.0/8")
		}
	}
}

func (c *processChecker) direct(d *Direct) {
	c.url("direct.directory", d.Directory)
	c.address("direct.readiness", d.Readiness)
	c.positive("direct.repeats.ratio", d.RetryBudget.Ratio > 0, d.RetryBudget.Ratio)
	c.positive("direct.repeats.slack", d.RetryBudget.Slack > 0, d.RetryBudget.Slack)
	c.positive("direct.repeats.window", d.RetryBudget.Window > 0, d.RetryBudget.Window)
	c.positive("direct.cold.overage", d.Cold.Overage > 0, d.Cold.Overage)
	if d.Cold.Slack < 0 {
		c.add("direct.cold.slack", fmt.Sprint(d.Cold.Slack), "0 or more")
	}
}

func (c *processChecker) notNegative(field string, value int64) {
	if value < 0 {
		c.add(field, fmt.Sprint(value), "0 or more")
	}
}

// tls rejects settings that name only some of the files.
func (c *processChecker) tls(field string, t TLS, authority bool) {
	if !t.Used() {
		return
	}
	if t.Certificate == "" || t.Key == "" {
		c.add(field, "only some of the files", "certificate and key, or none")
	}
	if authority && t.Authority == "" {
		c.add(field+".authority", quote(""), "the file of the authority that issues the peers' certificates")
	}
}

func (c *processChecker) positive(field string, ok bool, value any) {
	if !ok {
		c.add(field, fmt.Sprintf("%v", value), "more than 0")
	}
}
