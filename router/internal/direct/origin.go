package direct

import (
	"context"
	"slices"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/settings"
)

// Origins remembers with which version of a service each stream began.
type Origins interface {
	// Begin records the origin of a stream, whose first event an attempt of the client has brought.
	Begin(attempt call.ID, o origin.Origin)
	// Find returns where a stream may go on that the client has events of.
	Find(ctx context.Context, q *origin.Question) (origin.Origin, origin.Verdict)
	// CachedAt returns the only version of a service that has the block of a request in its caches, while several versions serve.
	CachedAt(name settings.ServiceName, block call.PromptBlock) (members.Version, bool)
}

// chooseVersion finds out which version the stream has to go to, if any. It returns false if the request has ended.
func (ex *exchange) chooseVersion(ctx context.Context) bool {
	if ex.ContinuesStream() {
		return ex.findOrigin(ctx)
	}
	own := ex.OwnBlock()
	if own.ID == 0 {
		return true
	}
	version, ok := ex.dispatcher.Origins.CachedAt(ex.Service, own)
	o := origin.Origin{Service: ex.Service, Version: version}
	if ok && ex.serves(o) {
		ex.dispatcher.Scope.Counter("streams_kept_at_version").Inc(1)
		ex.dispatcher.Log.Info("stream kept at a version", "request", ex.ID, "service", o.Service, "version", o.Version)
		ex.Begun = &o
	}
	return true
}

// serves reports whether instances of a version of a service may get requests.
func (ex *exchange) serves(o origin.Origin) bool {
	return slices.ContainsFunc(ex.dispatcher.Members.Serving(o.Service), func(i members.Instance) bool { return i.Version == o.Version })
}

// findOrigin finds out where the stream began that the client takes up again. It returns false if the request has ended, because the
// stream cannot go on there.
func (ex *exchange) findOrigin(ctx context.Context) bool {
	d := ex.dispatcher
	o, verdict := d.Origins.Find(ctx, &origin.Question{FirstAttempt: ex.FirstAttempt, Service: ex.Service, Own: ex.OwnBlock()})
	if verdict == origin.Unknown {
		ex.giveUp(ctx, CodeOriginUnknown, defaultRetryAfter)
		return false
	}
	d.Log.Info("stream taken up", "request", ex.ID, "first_attempt", ex.FirstAttempt, "service", o.Service, "version", o.Version,
		"by", verdict)
	isBackend := slices.ContainsFunc(ex.RouteConfig.Backends, func(b settings.Backend) bool { return b.Service == o.Service })
	if !isBackend || !ex.serves(o) {
		ex.giveUp(ctx, CodeVersionGone, defaultRetryAfter)
		return false
	}
	ex.Service, ex.Begun = o.Service, &o
	return true
}

// recordOrigin records where the stream has begun or goes on, before the client gets its first event from there.
func (ex *exchange) recordOrigin(inst members.Instance) {
	if ex.Begun == nil {
		ex.Begun = &origin.Origin{Service: inst.Service, Version: inst.Version}
	}
	if ex.FirstAttempt != "" {
		ex.dispatcher.Origins.Begin(ex.FirstAttempt, *ex.Begun)
		return
	}
	ex.dispatcher.Origins.Begin(ex.ID, *ex.Begun)
}

// isOther reports whether a stream that has begun must not go on at an instance.
func (r *Request) isOther(inst members.Instance) bool {
	return r.Begun != nil && r.Begun.Version != inst.Version
}
