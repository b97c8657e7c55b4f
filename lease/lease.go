// Package lease gives duties that one VM at a time should hold, by conditional
// updates with terms that only grow. A term serves as the fencing number.
package lease

import "time"

// A Lease is one duty as the object API holds it. Holder is empty when it is
// free. Term grows with every change of holder. Nonce identifies one write, so
// that a write whose answer was lost can be recognised.
type Lease struct {
	Duty        string        `json:"duty"`
	Holder      string        `json:"holder"`
	Incarnation uint64        `json:"incarnation"`
	Term        int64         `json:"term"`
	Length      time.Duration `json:"length"`
	Nonce       string        `json:"nonce"`
}
