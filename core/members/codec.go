package members

import (
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/wire"
)

// instanceFields is the number of fields of an Instance that all programs exchange.
const instanceFields = 8

// EncodeMsgpack encodes the instance without its version if that is not known.
func (i Instance) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{i.ID, i.Service, i.Address, i.DataCentre, i.Slots, i.Draining, i.ColdRemaining, i.Incarnation, i.Version}
	if i.Version == "" {
		fields = fields[:instanceFields]
	}
	return wire.Encode(enc, fields...)
}

// DecodeMsgpack decodes an instance with or without a version.
func (i *Instance) DecodeMsgpack(dec *msgpack.Decoder) error {
	*i = Instance{}
	return wire.Decode(dec, instanceFields, &i.ID, &i.Service, &i.Address, &i.DataCentre, &i.Slots, &i.Draining, &i.ColdRemaining,
		&i.Incarnation, &i.Version)
}

// WithoutVersions returns changes as programs know them that do not exchange versions.
func WithoutVersions(changes []Change) []Change {
	out := make([]Change, len(changes))
	for i, c := range changes {
		out[i] = c
		out[i].Instance.Version = ""
	}
	return out
}
