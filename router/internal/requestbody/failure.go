package requestbody

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/memorybudget"
)

// Codes of requests whose bodies were not read.
const (
	CodeTooLarge  = "body_too_large"
	CodeMalformed = "malformed_body"
	CodeTimeout   = "body_timeout"
	CodeNoMemory  = "no_memory"
)

// noMemoryRetryAfter is when a client may retry a request that there was no memory for. Until then bodies that stall have made room.
const noMemoryRetryAfter = time.Second

// Failure is the response to a request that was not run because its body was not read.
type Failure struct {
	Status     int
	Code       string
	RetryAfter time.Duration
}

// FailureOf returns the response for an error of Read.
func FailureOf(err error) Failure {
	var tooLarge *TooLargeError
	var timeout *TimeoutError
	var full *memorybudget.FullError
	var evicted *memorybudget.EvictedError
	switch {
	case errors.As(err, &tooLarge):
		return Failure{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge}
	case errors.As(err, &timeout):
		return Failure{Status: http.StatusRequestTimeout, Code: CodeTimeout}
	case errors.As(err, &full), errors.As(err, &evicted):
		return Failure{Status: http.StatusServiceUnavailable, Code: CodeNoMemory, RetryAfter: noMemoryRetryAfter}
	}
	return Failure{Status: http.StatusBadRequest, Code: CodeMalformed}
}
