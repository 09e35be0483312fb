package inflight

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// IDs is a sorted list of upstreams with its digest. Routers that know the same upstreams exchange counts without their names.
type IDs struct {
	List   []settings.UpstreamID
	Digest uint64
}

// NewIDs returns the list with its digest.
func NewIDs(sorted []settings.UpstreamID) IDs {
	h := xxhash.New()
	for _, id := range sorted {
		_, _ = h.WriteString(string(id))
		_, _ = h.WriteString("\x00")
	}
	return IDs{List: sorted, Digest: h.Sum64()}
}

// Packed holds counts in the order of a list of upstreams.
type Packed struct {
	// Digest identifies the list. Names holds the list itself, if the receiver may not have it.
	Digest uint64
	Names  []settings.UpstreamID
	// Values holds one count for each upstream, as unsigned varints.
	Values []byte
}

// Empty reports whether p holds no counts at all, not even zeros.
func (p Packed) Empty() bool { return len(p.Values) == 0 }

// PackError reports counts that cannot be decoded.
type PackError struct {
	Reason string
}

func (e *PackError) Error() string { return "packed counts: " + e.Reason }

// Pack encodes counts. Counts of upstreams that the list lacks are left out.
func Pack(ids IDs, counts Counts, withNames bool) Packed {
	p := Packed{Digest: ids.Digest, Values: make([]byte, 0, len(ids.List))}
	if withNames {
		p.Names = ids.List
	}
	for _, id := range ids.List {
		p.Values = binary.AppendUvarint(p.Values, uint64(max(0, counts[id])))
	}
	return p
}

// Unpack decodes counts. ids is the receiver's list, which is used if p has no names. It returns a PackError if the lists differ
// or p is malformed.
func (p Packed) Unpack(ids IDs) (Counts, error) {
	list := p.Names
	if len(list) == 0 {
		if p.Digest != ids.Digest {
			return nil, &PackError{Reason: "the list of upstreams is not known"}
		}
		list = ids.List
	}
	counts := make(Counts)
	rest := p.Values
	for _, id := range list {
		v, n := binary.Uvarint(rest)
		if n <= 0 || v > maxCount {
			return nil, &PackError{Reason: fmt.Sprintf("malformed count of upstream %q", id)}
		}
		rest = rest[n:]
		if v > 0 {
			counts[id] = int(v)
		}
	}
	if len(rest) > 0 {
		return nil, &PackError{Reason: "more counts than upstreams"}
	}
	return counts, nil
}

// maxCount bounds one count, so that a sum over all routers cannot overflow.
const maxCount = 1 << 24
