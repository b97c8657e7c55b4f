package limit

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Grains of the amounts that VMs send each other: whole numbers of them are
// short to encode.
const (
	requestGrain = 1.0 / 64
	tokenGrain   = 1.0 / 4
)

// An Ask is one VM's wish for tokens of a customer. Need is what a request
// lacks; Spare is further room that the asking VM has.
type TransferRequest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Need     Cost   `cbor:"3,keyasint"`
	Spare    Cost   `cbor:"4,keyasint"`
}

// A Transfer answers an Ask. The sender has already debited Given; the
// receiver drops it when it comes later than TransferLifetime after the ask.
type Transfer struct {
	ID    uint64 `cbor:"1,keyasint"`
	Given Cost   `cbor:"2,keyasint"`
	// Left is what the sender holds after the transfer.
	Left Cost `cbor:"3,keyasint"`
	// Home tells whether the sender holds a share of the customer at all.
	Home bool `cbor:"4,keyasint"`
}

// A Return ends a Transfer: Amount comes back and the rest is spent, so that
// the sender may open its room before the transfer lapses. With Refund, Amount is
// what a request did not use of what was spent.
type TransferReturn struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Amount   Cost   `cbor:"3,keyasint"`
	Refund   bool   `cbor:"4,keyasint,omitempty"`
}

// A ReturnReply answers a Return.
type TransferReturnReply struct{}

// MarshalCBOR implements cbor.Marshaler: a cost is sent as whole grains, or
// exactly if it has none.
func (c Cost) MarshalCBOR() ([]byte, error) {
	c = c.clean()
	if c != c.grainsDown() {
		return cbor.Marshal([2]float64{c.Requests, c.Tokens})
	}
	return cbor.Marshal([2]uint64{uint64(c.Requests / requestGrain), uint64(c.Tokens / tokenGrain)})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (c *Cost) UnmarshalCBOR(data []byte) error {
	var grains [2]uint64
	if cbor.Unmarshal(data, &grains) == nil {
		*c = Cost{Requests: float64(grains[0]) * requestGrain, Tokens: float64(grains[1]) * tokenGrain}
		return nil
	}
	var exact [2]float64
	if err := cbor.Unmarshal(data, &exact); err != nil {
		return err
	}
	*c = Cost{Requests: exact[0], Tokens: exact[1]}.clean()
	return nil
}

// grainsUp returns a cost rounded up to whole grains.
func (c Cost) grainsUp() Cost {
	return Cost{
		Requests: math.Ceil(c.Requests/requestGrain) * requestGrain,
		Tokens:   math.Ceil(c.Tokens/tokenGrain) * tokenGrain,
	}
}

// grainsDown returns a cost rounded down to whole grains.
func (c Cost) grainsDown() Cost {
	return Cost{
		Requests: math.Floor(c.Requests/requestGrain) * requestGrain,
		Tokens:   math.Floor(c.Tokens/tokenGrain) * tokenGrain,
	}
}
