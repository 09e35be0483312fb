package quarantine

import (
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/wire"
)

// Programs that do not exchange digests encode a Suspect and an Evidence without their last field, and decode nothing else.
const (
	suspectFields  = 3
	evidenceFields = 3
)

// EncodeMsgpack encodes the suspect without its digest if that is 0.
func (s Suspect) EncodeMsgpack(enc *msgpack.Encoder) error {
	if s.Digest == 0 {
		return wire.Encode(enc, s.Blocks, s.Strength)
	}
	return wire.Encode(enc, s.Blocks, s.Strength, s.Digest)
}

// DecodeMsgpack decodes a suspect with or without a digest.
func (s *Suspect) DecodeMsgpack(dec *msgpack.Decoder) error {
	*s = Suspect{}
	return wire.Decode(dec, suspectFields-1, &s.Blocks, &s.Strength, &s.Digest)
}

// EncodeMsgpack encodes the evidence without the survivals of repeats if there are none.
func (e Evidence) EncodeMsgpack(enc *msgpack.Encoder) error {
	if len(e.Repeats) == 0 {
		return wire.Encode(enc, e.Crashes, e.Survivals)
	}
	return wire.Encode(enc, e.Crashes, e.Survivals, e.Repeats)
}

// DecodeMsgpack decodes evidence with or without the survivals of repeats.
func (e *Evidence) DecodeMsgpack(dec *msgpack.Decoder) error {
	*e = Evidence{}
	return wire.Decode(dec, evidenceFields-1, &e.Crashes, &e.Survivals, &e.Repeats)
}
