package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// A Patch changes one version of the configuration into the next. It is
// applied atomically: either all of its changes take effect or none.
type Patch struct {
	// ID identifies the patch. A patch that is submitted more than once under
	// the same id takes effect once. If the id is missing, DecodePatch derives
	// it from the content.
	ID string `json:"id" yaml:"id" cbor:"1,keyasint"`
	// Base is the version that the patch applies to.
	Base int64 `json:"base" yaml:"base" cbor:"2,keyasint"`
	// Set adds items, or replaces items with the same names.
	Set Items `json:"set" yaml:"set" cbor:"3,keyasint"`
	// Remove removes items by name.
	Remove Names `json:"remove" yaml:"remove" cbor:"4,keyasint"`
	// Rates replaces the rates of customers.
	Rates []RateChange `json:"rates,omitempty" yaml:"rates" cbor:"5,keyasint,omitempty"`
	// Grant adds keys to customers.
	Grant []Grant `json:"grant,omitempty" yaml:"grant" cbor:"6,keyasint,omitempty"`
	// Withdraw withdraws keys.
	Withdraw []Withdrawal `json:"withdraw,omitempty" yaml:"withdraw" cbor:"7,keyasint,omitempty"`
	// Reinstate lists the digests of withdrawn keys that this patch may put
	// back into force.
	Reinstate []string `json:"reinstate,omitempty" yaml:"reinstate" cbor:"8,keyasint,omitempty"`
	// Retire lists digests that keys may no longer have after this patch.
	Retire []string `json:"retire,omitempty" yaml:"retire" cbor:"9,keyasint,omitempty"`

	report Report
}

// Items are complete items that a patch adds or replaces.
type Items struct {
	Customers []Customer `json:"customers,omitempty" yaml:"customers" cbor:"1,keyasint,omitempty"`
	Routes    []Route    `json:"routes,omitempty" yaml:"routes" cbor:"2,keyasint,omitempty"`
	Models    []Model    `json:"models,omitempty" yaml:"models" cbor:"3,keyasint,omitempty"`
	Targets   []Target   `json:"targets,omitempty" yaml:"targets" cbor:"4,keyasint,omitempty"`
}

// Names are the names of items that a patch removes.
type Names struct {
	Customers []string `json:"customers,omitempty" yaml:"customers" cbor:"1,keyasint,omitempty"`
	Routes    []string `json:"routes,omitempty" yaml:"routes" cbor:"2,keyasint,omitempty"`
	Models    []string `json:"models,omitempty" yaml:"models" cbor:"3,keyasint,omitempty"`
	Targets   []string `json:"targets,omitempty" yaml:"targets" cbor:"4,keyasint,omitempty"`
}

// A RateChange replaces the rate of a customer.
type RateChange struct {
	Customer string `json:"customer" yaml:"customer" cbor:"1,keyasint"`
	Rate     Rate   `json:"rate" yaml:"rate" cbor:"2,keyasint"`
}

// A Grant adds a key to a customer.
type Grant struct {
	Customer string `json:"customer" yaml:"customer" cbor:"1,keyasint"`
	Key      Key    `json:"key" yaml:"key" cbor:"2,keyasint"`
}

// A Withdrawal withdraws the key with the id. Mode is WithdrawnFinish, the
// default, or WithdrawnCut.
type Withdrawal struct {
	Customer string `json:"customer" yaml:"customer" cbor:"1,keyasint"`
	Key      string `json:"key" yaml:"key" cbor:"2,keyasint"`
	Mode     string `json:"mode,omitempty" yaml:"mode" cbor:"3,keyasint,omitempty" permitted:"finish,cut"`
}

// DecodePatch decodes a patch from YAML. The error is a *Problems.
func DecodePatch(file string, data []byte) (Patch, error) {
	var p Patch
	lines, err := DecodeYAML(file, data, &p)
	if err != nil {
		return Patch{}, err
	}
	p.report = Report{File: file, Lines: lines}
	r := p.newReport()
	if _, given := lines["base"]; !given || p.Base < 0 {
		r.Add("base", "the version that the patch is against", "is missing or below 0")
	}
	if p.ID == "" {
		p.ID = "p-" + p.digest()
	}
	if !namePattern.MatchString(p.ID) {
		r.Add("id", permittedName, "is %q", p.ID)
	}
	if err := r.Err(); err != nil {
		return Patch{}, err
	}
	return p, nil
}

// patchDigestBytes is the length of a patch's digest. It is long enough
// against accidental collisions; operators are not expected to produce
// collisions deliberately.
const patchDigestBytes = 8

// digest returns a hash of the patch's content.
func (p *Patch) digest() string {
	data, err := json.Marshal(p)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:patchDigestBytes])
}

// newReport returns an empty report with the line numbers of the patch.
func (p *Patch) newReport() *Report {
	return &Report{File: p.report.File, Lines: p.report.Lines}
}
