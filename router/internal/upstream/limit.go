package upstream

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/memorybudget"
)

// Part is a part of a response that has a limit.
type Part string

// The parts of a response that have limits.
const (
	PartHead   Part = "head"
	PartFields Part = "fields"
	PartEvent  Part = "event"
	// PartMemory is what all requests together hold.
	PartMemory Part = "memory"
)

// SizeError reports a part of a response that has too many bytes.
type SizeError struct {
	Part  Part
	Limit int
}

func (e *SizeError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit) }

// OverLimit returns which part of a response exceeded its limit, if that is what an error reports.
func OverLimit(err error) (part Part, ok bool) {
	var size *SizeError
	var fields *httphead.FieldsError
	var full *memorybudget.FullError
	switch {
	case errors.As(err, &size):
		return size.Part, true
	case errors.As(err, &fields):
		return PartFields, true
	case errors.As(err, &full):
		return PartMemory, true
	}
	return "", false
}
