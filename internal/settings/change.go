package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Change is a setting whose value differs between two versions of a settings file.
type Change struct {
	// Name is the setting's name, such as "gateway.bounds.drain".
	Name string
	// Old and New are its values.
	Old, New string
}

// String returns the change for a log line.
func (c Change) String() string { return fmt.Sprintf("%s: %s -> %s", c.Name, c.Old, c.New) }

// Reloaded reports whether the change is in force without a restart.
func (c Change) Reloaded() bool {
	for _, prefix := range []string{
		"gateway.seeds", "gateway.memory", "gateway.answers", "gateway.requests", "gateway.bounds.", "gateway.hedge.", "gateway.admission",
	} {
		if strings.HasPrefix(c.Name, prefix) {
			return true
		}
	}
	return false
}

// Version identifies the values of the settings but for the addresses of the VM itself: two
// VMs with the same version run with the same settings.
func (g *Gateway) Version() string {
	alike := *g
	alike.ReadyAddress, alike.DirectoryAddress = "", ""
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprintf("%+v", alike))))
}

// Changes returns the settings that differ, in the order of the file.
func Changes(from, to Settings) []Change {
	return appendChanges(nil, "", reflect.ValueOf(from), reflect.ValueOf(to))
}

func appendChanges(out []Change, name string, from, to reflect.Value) []Change {
	if from.Kind() == reflect.Pointer && !from.IsNil() && !to.IsNil() {
		from, to = from.Elem(), to.Elem()
	}
	if from.Kind() != reflect.Struct {
		if !reflect.DeepEqual(from.Interface(), to.Interface()) {
			out = append(out, Change{name, fmt.Sprint(from.Interface()), fmt.Sprint(to.Interface())})
		}
		return out
	}
	for i := range from.NumField() {
		field, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" {
			field = name + "." + field
		}
		out = appendChanges(out, field, from.Field(i), to.Field(i))
	}
	return out
}
