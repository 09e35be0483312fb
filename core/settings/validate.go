package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"
)

// Bounds of the declarations.
const (
	maxDeadline   = time.Hour
	maxMultiple   = 10.0
	maxRetries    = 10
	maxRunning    = 100_000
	maxShare      = 1_000_000
	maxLifetime   = 24 * time.Hour
	maxTokenCount = Tokens(10_000_000)
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameRule = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

// checker gathers the problems of a set of declarations.
type checker struct {
	problems Problems
}

func (c *checker) check(ok bool, kind, name, field string, found any, allowed string) {
	if ok {
		return
	}
	path := kind + "." + name
	if field != "" {
		path += "." + field
	}
	c.problems = append(c.problems, Problem{
		File:    kind + ".yaml",
		Field:   path,
		Found:   fmt.Sprintf("%v", found),
		Allowed: allowed,
	})
}

// Validate returns every fault of the declarations, in a steady order.
func (f *Declarations) Validate() Problems {
	c := &checker{}
	for name, p := range f.Profiles {
		f.validateProfile(c, string(name), p)
	}
	for name, s := range f.Services {
		validateService(c, string(name), s)
	}
	for id, u := range f.Upstreams {
		f.validateUpstream(c, string(id), u)
	}
	for id, t := range f.Teams {
		validateTeam(c, string(id), t)
	}
	for name, r := range f.Routes {
		f.validateRoute(c, string(name), r)
	}
	for name, l := range f.Limits {
		validateLimits(c, string(name), l)
	}
	f.validateAddresses(c)
	return c.sorted()
}

// validateChange returns the faults that a change can have brought into declarations without fault.
func (f *Declarations) validateChange(docs []Document) Problems {
	c := &checker{}
	upstreams := false
	for _, d := range docs {
		kind, name, _ := strings.Cut(string(d.Key), "/")
		switch kind {
		case kindServices:
			// Profiles and upstreams name services, so a change of one may touch them all.
			return f.Validate()
		case kindUpstreams:
			upstreams = true
		}
		if !d.Deleted {
			f.validateOne(c, kind, name)
		}
	}
	if upstreams {
		f.validateAddresses(c)
	}
	return c.sorted()
}

func (f *Declarations) validateOne(c *checker, kind, name string) {
	switch kind {
	case kindProfiles:
		f.validateProfile(c, name, f.Profiles[ProfileName(name)])
	case kindUpstreams:
		f.validateUpstream(c, name, f.Upstreams[UpstreamID(name)])
	case kindTeams:
		validateTeam(c, name, f.Teams[TeamID(name)])
	case kindRoutes:
		f.validateRoute(c, name, f.Routes[RouteName(name)])
	case kindLimits:
		validateLimits(c, name, f.Limits[LimitsName(name)])
	}
}

func (c *checker) sorted() Problems {
	sort.Slice(c.problems, func(i, j int) bool { return c.problems[i].String() < c.problems[j].String() })
	return c.problems
}

func validateTeam(c *checker, id string, t Team) {
	c.check(namePattern.MatchString(id), kindTeams, id, "", id, nameRule)
	c.check(t.Share >= 1 && t.Share <= maxShare, kindTeams, id, "share", t.Share, "1 to 1000000")
	c.check(t.MaxOpen >= 1, kindTeams, id, "max_open", t.MaxOpen, "at least 1")
}

func (f *Declarations) validateProfile(c *checker, name string, p Profile) {
	const kind = kindProfiles
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	_, known := f.Services[p.Service]
	c.check(known, kind, name, "service", quote(p.Service), "the name of a declared service")
	c.check(slices.Contains(Priorities, p.Priority), kind, name, "priority", quote(p.Priority), "urgent, normal or patient")
	c.check(p.Deadline > 0 && p.Deadline <= maxDeadline, kind, name, "deadline", p.Deadline, "more than 0s, at most 1h")
	c.check(p.Retries >= 0 && p.Retries <= maxRetries, kind, name, "retries", p.Retries, "0 to 10")
	c.check(p.Idempotent || p.Retries == 0, kind, name, "retries", p.Retries, "0 where idempotent is false")
	c.check(p.ExpectedTokens > 0 && p.ExpectedTokens <= maxTokenCount, kind, name, "expected_tokens", p.ExpectedTokens, "1 to 10000000")
}

func validateService(c *checker, name string, s Service) {
	const kind = kindServices
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	c.check(s.Kind == KindModel || s.Kind == KindPlain, kind, name, "kind", quote(s.Kind), "model or plain")
	c.check(s.Kind != KindModel || s.Model != "", kind, name, "model", quote(s.Model), "the engines' name of the model")
	c.check(s.Multiple > 1 && s.Multiple <= maxMultiple, kind, name, "multiple", s.Multiple, "more than 1, at most 10")
	c.check(s.MaxRunning >= 1 && s.MaxRunning <= maxRunning, kind, name, "max_running", s.MaxRunning, "1 to 100000")
	c.check(s.MaxQueued >= 1 && s.MaxQueued <= maxRunning, kind, name, "max_queued", s.MaxQueued, "1 to 100000")
	c.check(s.KeyLifetime > 0 && s.KeyLifetime <= maxLifetime, kind, name, "key_lifetime", s.KeyLifetime, "more than 0s, at most 24h")
	c.check(s.PrefillRate > 0, kind, name, "prefill_rate", s.PrefillRate, "more than 0")
	c.check(s.DecodeRate > 0, kind, name, "decode_rate", s.DecodeRate, "more than 0")
	c.check(s.CacheTokens > 0, kind, name, "cache_tokens", s.CacheTokens, "more than 0")
}

func (f *Declarations) validateUpstream(c *checker, id string, u Upstream) {
	const kind = kindUpstreams
	c.check(namePattern.MatchString(id), kind, id, "", id, nameRule)
	_, known := f.Services[u.Service]
	c.check(known, kind, id, "service", quote(u.Service), "the name of a declared service")
	_, err := netip.ParseAddrPort(u.Side)
	c.check(err == nil, kind, id, "side", quote(u.Side), "an IP number and port, such as 10.0.0.7:7400")
	c.check(namePattern.MatchString(string(u.DataCentre)), kind, id, "data_centre", quote(u.DataCentre), nameRule)
}

// validateAddresses refuses two upstreams behind one side address; the one whose name comes later is at fault.
func (f *Declarations) validateAddresses(c *checker) {
	first := make(map[string]UpstreamID, len(f.Upstreams))
	for id, u := range f.Upstreams {
		if u.Destroyed {
			continue
		}
		other, taken := first[u.Side]
		if !taken {
			first[u.Side] = id
			continue
		}
		first[u.Side] = min(id, other)
		c.check(false, kindUpstreams, string(max(id, other)), "side", quote(u.Side), "an address of its own; "+string(min(id, other))+" has this one")
	}
}

var routeKinds = []RouteKind{RouteIdempotent, RouteOnce, RouteStream}

func (f *Declarations) validateRoute(c *checker, name string, r Route) {
	const kind = kindRoutes
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	c.check(r.Host != "", kind, name, "host", quote(r.Host), "a host name")
	whole := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/")
	c.check(whole, kind, name, "path_prefix", quote(r.PathPrefix), "a path that begins and ends with a slash")
	c.check(slices.Contains(routeKinds, r.Kind), kind, name, "kind", quote(r.Kind), "idempotent, once or stream")
	c.check(!r.Resumable || r.Kind == RouteStream, kind, name, "resumable", r.Resumable, "false unless kind is stream")
	c.check(r.Attempts >= 1 && r.Attempts <= maxRetries, kind, name, "attempts", r.Attempts, "1 to 10")
	c.check(r.Timeout > 0 && r.Timeout <= maxDeadline, kind, name, "timeout", r.Timeout, "more than 0s, at most 1h")
	c.check(r.Rank >= 0, kind, name, "rank", r.Rank, "at least 0")
	weight := 0
	for _, b := range r.Backends {
		_, known := f.Services[b.Service]
		c.check(known, kind, name, "backends", quote(b.Service), "the name of a declared service")
		c.check(b.Weight >= 0, kind, name, "backends", b.Weight, "a weight of at least 0")
		weight += b.Weight
	}
	c.check(weight > 0, kind, name, "backends", weight, "a service with a weight above 0")
}

func validateLimits(c *checker, name string, l ClientLimits) {
	const kind = kindLimits
	c.check(l.HeaderBytes > 0, kind, name, "header_bytes", l.HeaderBytes, "more than 0")
	c.check(l.BodyBytes > 0, kind, name, "body_bytes", l.BodyBytes, "more than 0")
	c.check(l.HeaderTime > 0, kind, name, "header_time", l.HeaderTime, "more than 0s")
	c.check(l.IdleTime > 0, kind, name, "idle_time", l.IdleTime, "more than 0s")
}

func quote[T ~string](v T) string {
	return fmt.Sprintf("%q", string(v))
}
