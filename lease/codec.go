package lease

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/rotisserie/eris"
)

// Encode returns the value of the lease's object.
func Encode(l Lease) []byte {
	data, err := json.Marshal(l)
	if err != nil {
		// All field types of a Lease can be encoded.
		panic(err)
	}
	return data
}

// Decode decodes the value of a lease's object. It returns an error for values
// that this package does not write.
func Decode(data []byte) (Lease, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var l Lease
	if err := d.Decode(&l); err != nil {
		return Lease{}, eris.Wrap(err, "decode lease")
	}
	if d.More() {
		return Lease{}, eris.New("decode lease: data after the record")
	}
	if l.Term < 0 || l.TTL < 0 {
		return Lease{}, eris.Errorf("decode lease %q: negative term or length", l.Name)
	}
	if l.Term == math.MaxInt64 {
		return Lease{}, eris.Errorf("decode lease %q: no term can follow %d", l.Name, l.Term)
	}
	if l.Holder != "" && l.Term == 0 {
		return Lease{}, eris.Errorf("decode lease %q: held without a term", l.Name)
	}
	return l, nil
}
