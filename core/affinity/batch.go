package affinity

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/wire"
)

// Encoding of a Batch.
const (
	// blockIDBytes is the size of a block id.
	blockIDBytes = 8
	// tokenBytes is the size of a number of listed tokens.
	tokenBytes = 4
	// ageUnit is the unit of an age, which takes one byte. The largest age exceeds entryLifetime.
	ageUnit = 250 * time.Millisecond
	maxAge  = 255
)

// Batch holds the cache entries of one upstream in the form that routers exchange. A fleet exchanges thousands of entries
// a second, so each takes only 9 bytes.
type Batch struct {
	Upstream settings.UpstreamID
	// Blocks holds the block ids, 8 bytes each in network byte order. Ages holds the time since the last use of each block,
	// one byte each in units of 250 ms.
	Blocks []byte
	Ages   []byte
	// Listed holds the tokens that the upstream states for each block, 4 bytes each. Incarnation, Service and Version are those of the
	// process that states them. It is empty for entries that come from requests.
	Listed      []byte
	Incarnation members.Incarnation
	Service     settings.ServiceName
	Version     members.Version
}

// batchFields is the number of fields of a Batch that all programs exchange.
const batchFields = 3

// EncodeMsgpack encodes the batch without the fields that are not used.
func (b Batch) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{b.Upstream, b.Blocks, b.Ages, b.Listed, b.Incarnation, b.Service, b.Version}
	if len(b.Listed) == 0 {
		fields = fields[:batchFields]
	}
	return wire.Encode(enc, fields...)
}

// DecodeMsgpack decodes a batch of any program.
func (b *Batch) DecodeMsgpack(dec *msgpack.Decoder) error {
	*b = Batch{}
	return wire.Decode(dec, batchFields, &b.Upstream, &b.Blocks, &b.Ages, &b.Listed, &b.Incarnation, &b.Service, &b.Version)
}

// WithoutListings returns batches as programs know them that exchange no listings.
func WithoutListings(batches []Batch) []Batch {
	out := make([]Batch, len(batches))
	for i, b := range batches {
		out[i] = Batch{Upstream: b.Upstream, Blocks: b.Blocks, Ages: b.Ages}
	}
	return out
}

// MalformedBatchError reports a batch whose numbers of block ids, ages and listed tokens differ.
type MalformedBatchError struct {
	Upstream                          settings.UpstreamID
	BlockBytes, AgeCount, ListedBytes int
}

func (e *MalformedBatchError) Error() string {
	return fmt.Sprintf("batch of upstream %q has %d bytes of block ids and %d of listed tokens for %d ages", e.Upstream, e.BlockBytes,
		e.ListedBytes, e.AgeCount)
}

// source is what the entries of one batch have in common.
type source struct {
	upstream    settings.UpstreamID
	incarnation members.Incarnation
	service     settings.ServiceName
	version     members.Version
}

// Pack groups cache entries by upstream and, if it has listed them, by its process.
func Pack(entries []CacheEntry) []Batch {
	index := make(map[source]int)
	var batches []Batch
	for _, entry := range entries {
		l := entry.Listing
		from := source{upstream: entry.Upstream, incarnation: l.Incarnation, service: l.Service, version: l.Version}
		i, ok := index[from]
		if !ok {
			i = len(batches)
			index[from] = i
			batches = append(batches, Batch{
				Upstream: from.upstream, Incarnation: from.incarnation, Service: from.service, Version: from.version,
			})
		}
		b := &batches[i]
		b.Blocks = binary.BigEndian.AppendUint64(b.Blocks, uint64(entry.Block))
		b.Ages = append(b.Ages, byte(min(maxAge, max(0, entry.Age/ageUnit))))
		if from.incarnation != 0 {
			b.Listed = binary.BigEndian.AppendUint32(b.Listed, l.Tokens)
		}
	}
	return batches
}

// Unpack returns the cache entries of the batches. At a malformed batch it returns the entries so far and a
// MalformedBatchError.
func Unpack(batches []Batch) ([]CacheEntry, error) {
	var entries []CacheEntry
	for _, b := range batches {
		isListed := len(b.Listed) > 0
		if len(b.Blocks) != blockIDBytes*len(b.Ages) || (isListed && len(b.Listed) != tokenBytes*len(b.Ages)) {
			return entries, &MalformedBatchError{
				Upstream: b.Upstream, BlockBytes: len(b.Blocks), AgeCount: len(b.Ages), ListedBytes: len(b.Listed),
			}
		}
		for i, age := range b.Ages {
			block := binary.BigEndian.Uint64(b.Blocks[blockIDBytes*i:])
			entry := CacheEntry{Block: call.PromptBlockID(block), Upstream: b.Upstream, Age: time.Duration(age) * ageUnit}
			if isListed {
				entry.Listing = Listing{
					Incarnation: b.Incarnation, Service: b.Service, Version: b.Version,
					Tokens: binary.BigEndian.Uint32(b.Listed[tokenBytes*i:]),
				}
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}
