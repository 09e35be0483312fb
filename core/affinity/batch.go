package affinity

import (
	"encoding/binary"
	"fmt"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/settings"
)

// Sizes of packed holdings.
const (
	// partBytes is the size of one part's id.
	partBytes = 8
	// ageUnit is the unit of an age of one byte; the largest exceeds keepTime.
	ageUnit = 250 * time.Millisecond
	maxAge  = 255
)

// Batch is the holdings of one upstream as they travel between routers: a fleet tells thousands of them a second, so an
// entry takes 9 bytes.
type Batch struct {
	Upstream settings.UpstreamID
	// Parts are the ids, of 8 bytes each in network byte order, Ages the time since each was used, of one byte in units of
	// 250 ms.
	Parts []byte
	Ages  []byte
}

// MalformedBatchError reports a batch with another number of ids than of ages.
type MalformedBatchError struct {
	Upstream         settings.UpstreamID
	PartBytes, Count int
}

func (e *MalformedBatchError) Error() string {
	return fmt.Sprintf("batch of %q has %d bytes of parts for %d ages", e.Upstream, e.PartBytes, e.Count)
}

// Pack groups holdings by upstream.
func Pack(list []CacheEntry) []Batch {
	index := make(map[settings.UpstreamID]int)
	var batches []Batch
	for _, h := range list {
		i, ok := index[h.Upstream]
		if !ok {
			i = len(batches)
			index[h.Upstream] = i
			batches = append(batches, Batch{Upstream: h.Upstream})
		}
		b := &batches[i]
		b.Parts = binary.BigEndian.AppendUint64(b.Parts, uint64(h.Block))
		b.Ages = append(b.Ages, byte(min(maxAge, max(0, h.Age/ageUnit))))
	}
	return batches
}

// Unpack returns the holdings of the batches; it stops at the first MalformedBatchError.
func Unpack(batches []Batch) ([]CacheEntry, error) {
	var list []CacheEntry
	for _, b := range batches {
		if len(b.Parts) != partBytes*len(b.Ages) {
			return list, &MalformedBatchError{Upstream: b.Upstream, PartBytes: len(b.Parts), Count: len(b.Ages)}
		}
		for i, age := range b.Ages {
			part := binary.BigEndian.Uint64(b.Parts[partBytes*i:])
			list = append(list, CacheEntry{Block: call.PromptBlockID(part), Upstream: b.Upstream, Age: time.Duration(age) * ageUnit})
		}
	}
	return list, nil
}
