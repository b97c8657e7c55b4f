package lease

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Encode returns the value that the object API stores for a lease.
func Encode(l Lease) []byte {
	data, err := json.Marshal(l)
	if err != nil {
		// A Lease holds no type that fails to encode.
		panic(err)
	}
	return data
}

// Decode reads the value of an object. It refuses records that no version of
// this package writes.
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
	if l.Holder != "" && l.Term == 0 {
		return Lease{}, eris.Errorf("decode lease %q: held without a term", l.Name)
	}
	return l, nil
}
