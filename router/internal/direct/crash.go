package direct

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/members"
	"rattantrack.dev/core/quarantine"
	"rattantrack.dev/core/settings"
)

// beginningTime is how long after its head an answer counts as just begun. A prompt that crashes engines does so within the first
// steps of their work on the answer.
const beginningTime = 500 * time.Millisecond

// connectionEnded reports whether an error means that the upstream ended the connection. Malformed answers and the router's own
// timeouts do not.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordBroken records the request as a suspect if the upstream ended the connection before or at the beginning of its answer.
func (ex *exchange) recordBroken(inst members.Instance, err error) {
	if !connectionEnded(err) {
		return
	}
	now := ex.dispatcher.Clock.Now()
	strength := quarantine.Weak
	if ex.answeredAt != 0 {
		if now.Sub(ex.answeredAt) >= beginningTime {
			return
		}
		if ex.relay.events == ex.eventsBefore {
			strength = quarantine.Strong
		}
	}
	ex.dispatcher.Quarantine.RecordCrash(now, inst, ex.suspect(), strength)
}

// isEmptyStream reports whether the last attempt was to bring events and brought none. It shows nothing of the prompt: an engine that ends may
// close the answers that it owes in good order.
func (ex *exchange) isEmptyStream() bool {
	return ex.RouteConfig.Kind == settings.RouteStream && ex.relay.events == ex.eventsBefore
}

// recordProgress records that the upstream has survived the beginning of its answer, once an attempt.
func (ex *exchange) recordProgress(complete bool) {
	if ex.survived {
		return
	}
	now := ex.dispatcher.Clock.Now()
	if !complete && now.Sub(ex.answeredAt) < beginningTime {
		return
	}
	ex.survived = true
	ex.dispatcher.Quarantine.RecordSurvival(now, ex.suspect())
}

// suspect returns what the request has in common with others that may crash upstreams.
func (r *Request) suspect() quarantine.Request {
	return quarantine.Request{Digest: r.Digest, Blocks: r.sharedBlocks()}
}
