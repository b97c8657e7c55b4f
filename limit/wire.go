package limit

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Quanta of the amounts in messages between VMs. Whole numbers of quanta have a
// short encoding.
const (
	requestQuantum = 1.0 / 64
	tokenQuantum   = 1.0 / 4
)

// A TransferRequest asks another VM for tokens of a customer. Need is the amount
// that a waiting request lacks, Spare the further amount for which the
// requesting VM has room.
type TransferRequest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Need     Cost   `cbor:"3,keyasint"`
	Spare    Cost   `cbor:"4,keyasint"`
}

// A Transfer is the response to a TransferRequest. The sender has already
// debited Given. The receiver drops a transfer that arrives more than
// TransferLifetime after its request.
type Transfer struct {
	ID    uint64 `cbor:"1,keyasint"`
	Given Cost   `cbor:"2,keyasint"`
	// Left is the sender's level after the transfer.
	Left Cost `cbor:"3,keyasint"`
	// Holder reports whether the sender holds slots of the customer's shard.
	Holder bool `cbor:"4,keyasint"`
}

// A TransferReturn ends a Transfer before it expires. Amount is returned and the
// rest has been spent. With Refund, Amount is the part of a spent transfer that
// the request did not use.
type TransferReturn struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Amount   Cost   `cbor:"3,keyasint"`
	Refund   bool   `cbor:"4,keyasint,omitempty"`
}

// A TransferReturnReply is the response to a TransferReturn.
type TransferReturnReply struct{}

// MarshalCBOR implements cbor.Marshaler. A cost is encoded as whole numbers of
// quanta if possible, and as floating-point numbers otherwise.
func (c Cost) MarshalCBOR() ([]byte, error) {
	c = c.sanitised()
	if c != c.roundDown() {
		return cbor.Marshal([2]float64{c.Requests, c.Tokens})
	}
	return cbor.Marshal([2]uint64{uint64(c.Requests / requestQuantum), uint64(c.Tokens / tokenQuantum)})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (c *Cost) UnmarshalCBOR(data []byte) error {
	var quanta [2]uint64
	if cbor.Unmarshal(data, &quanta) == nil {
		*c = Cost{Requests: float64(quanta[0]) * requestQuantum, Tokens: float64(quanta[1]) * tokenQuantum}
		return nil
	}
	var exact [2]float64
	if err := cbor.Unmarshal(data, &exact); err != nil {
		return err
	}
	*c = Cost{Requests: exact[0], Tokens: exact[1]}.sanitised()
	return nil
}

// roundUp returns the cost rounded up to whole quanta.
func (c Cost) roundUp() Cost {
	return Cost{
		Requests: math.Ceil(c.Requests/requestQuantum) * requestQuantum,
		Tokens:   math.Ceil(c.Tokens/tokenQuantum) * tokenQuantum,
	}
}

// roundDown returns the cost rounded down to whole quanta.
func (c Cost) roundDown() Cost {
	return Cost{
		Requests: math.Floor(c.Requests/requestQuantum) * requestQuantum,
		Tokens:   math.Floor(c.Tokens/tokenQuantum) * tokenQuantum,
	}
}
