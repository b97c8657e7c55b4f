package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// Limits of one message, so that a faulty peer cannot exhaust the memory of this
// VM.
const (
	// MaxMessageBytes is the size of the largest encoded message.
	MaxMessageBytes = 8 << 20
	maxElements     = 1 << 20
	maxNesting      = 16
)

// A codec encodes messages as CBOR. It implements drpc.Encoding.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var _ drpc.Encoding = (*codec)(nil)

var encoding = newCodec()

func newCodec() *codec {
	// Amounts are mostly whole numbers, which take 3 or 5 bytes in place of 9.
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return &codec{enc: enc, dec: dec}
}

// Marshal implements drpc.Encoding.
func (c *codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, eris.Errorf("message of %d bytes exceeds %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// Unmarshal implements drpc.Encoding.
func (c *codec) Unmarshal(data []byte, msg drpc.Message) error {
	return eris.Wrap(c.dec.Unmarshal(data, msg), "decode message")
}

// Encode returns the CBOR encoding of msg.
func Encode(msg any) ([]byte, error) { return encoding.Marshal(msg) }

// Decode decodes the CBOR encoding of a message into msg.
func Decode(data []byte, msg any) error { return encoding.Unmarshal(data, msg) }
