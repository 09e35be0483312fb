package attempt

import (
	"net/http"

	"rattantrack.dev/core/call"
)

// Delivered is what the client has of its answer.
type Delivered string

// What a client may have of its answer.
const (
	// Nothing means that the client has no byte of an answer.
	Nothing Delivered = ""
	// Events means that the client has events of a stream up to a known id, after which another run may go on.
	Events Delivered = "events"
	// Part means that the client has a part of an answer that no other run can continue.
	Part Delivered = "part"
)

// Answer is the head of an upstream's answer.
type Answer struct {
	Status int
	// NotRun reports that the upstream stated that it did not run the request.
	NotRun bool
	// Stream reports that the request asks for a stream of events.
	Stream bool
}

// Use is what becomes of an upstream's answer.
type Use string

// Uses of an answer.
const (
	// UseRefusal is for an answer of an upstream that did not run the request.
	UseRefusal Use = "refusal"
	// UseUnconfirmed is for a status that tells the client that the request did not run, which the upstream did not state.
	UseUnconfirmed Use = "unconfirmed"
	// UseFailure is for a failure that is kept in case that no retry succeeds.
	UseFailure Use = "failure"
	// UseFinal is for a failure that any other upstream would report too. The client gets it at once.
	UseFinal Use = "final"
	// UseStream relays the events to the client.
	UseStream Use = "stream"
	// UseBody relays the body to the client.
	UseBody Use = "body"
	// UseNone is for an answer that would corrupt the part of another answer that the client has.
	UseNone Use = "none"
)

// UseOf returns what becomes of an answer. Once the client has a part of an answer, only events may be added to it.
func UseOf(a Answer, d Delivered) Use {
	switch {
	case a.NotRun:
		return UseRefusal
	case call.ImpliesNotRun(a.Status):
		return UseUnconfirmed
	case a.Status >= http.StatusInternalServerError:
		return UseFailure
	case a.Stream && a.Status == http.StatusOK && d != Part:
		return UseStream
	case d != Nothing:
		return UseNone
	case a.Status >= http.StatusBadRequest:
		return UseFinal
	}
	return UseBody
}
