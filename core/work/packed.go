package work

import (
	"encoding/binary"
	"fmt"
	"time"

	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// passAge is the age up to which readings are passed on. It spans several exchanges, so that one that is lost costs no reading.
const passAge = 400 * time.Millisecond

// PackError reports readings that cannot be decoded.
type PackError struct {
	Reason string
}

func (e *PackError) Error() string { return "packed readings: " + e.Reason }

// PackReadings encodes the readings that are young enough to be passed on, with the upstreams by their places in the list. Those of
// upstreams that the list lacks are left out.
func PackReadings(ids inflight.IDs, readings []Reading) []byte {
	place := make(map[settings.UpstreamID]int, len(ids.List))
	for i, id := range ids.List {
		place[id] = i
	}
	var b []byte
	for _, r := range readings {
		i, ok := place[r.Upstream]
		if !ok || time.Duration(r.Age)*time.Millisecond > passAge {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i))
		b = binary.AppendUvarint(b, uint64(r.Slowdown))
		b = binary.AppendUvarint(b, uint64(r.Age))
		b = binary.BigEndian.AppendUint16(b, r.Stamp)
	}
	return b
}

// UnpackReadings decodes readings with the list by which they were encoded. It returns a PackError if they are malformed.
func UnpackReadings(ids inflight.IDs, b []byte) ([]Reading, error) {
	var list []Reading
	for len(b) > 0 {
		var fields [3]uint64
		for i := range fields {
			v, n := binary.Uvarint(b)
			if n <= 0 {
				return nil, &PackError{Reason: "unfinished number"}
			}
			fields[i], b = v, b[n:]
		}
		if len(b) < 2 {
			return nil, &PackError{Reason: "unfinished stamp"}
		}
		if fields[0] >= uint64(len(ids.List)) || fields[1] > 65535 || fields[2] > 65535 {
			return nil, &PackError{Reason: fmt.Sprintf("number out of range in %v", fields)}
		}
		list = append(list, Reading{
			Upstream: ids.List[fields[0]], Slowdown: uint16(fields[1]), Age: uint16(fields[2]), Stamp: binary.BigEndian.Uint16(b),
		})
		b = b[2:]
	}
	return list, nil
}
