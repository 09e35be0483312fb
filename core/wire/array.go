package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// FieldsError reports a struct with a number of fields that no version of the protocol has.
type FieldsError struct {
	Got int
}

func (e *FieldsError) Error() string { return fmt.Sprintf("array of %d fields", e.Got) }

// Encode encodes the fields of a struct.
func Encode(enc *msgpack.Encoder, fields ...any) error {
	if err := enc.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return enc.EncodeMulti(fields...)
}

// Decode decodes into the fields of a struct, of which all but the first required ones may be missing. It returns a FieldsError for any
// other number of fields.
func Decode(dec *msgpack.Decoder, required int, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < required || n > len(fields) {
		return &FieldsError{Got: n}
	}
	return dec.DecodeMulti(fields[:n]...)
}
