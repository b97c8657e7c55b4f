package config

import (
	"encoding"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileBytes is the size of the largest file that DecodeYAML accepts.
const MaxFileBytes = 32 << 20

// DecodeYAML decodes a YAML document into the struct that into points to. It
// refuses unknown and duplicate fields, aliases, tags and values of the wrong
// type, and reports all of them at once as a *Problems. The struct tag
// `permitted` of a string field lists its permitted values, separated by
// commas.
func DecodeYAML(file string, data []byte, into any) (Lines, error) {
	d := &decoder{Report: Report{File: file, Lines: Lines{}}}
	if body := d.parse(data); body != nil {
		d.decode(body, "", reflect.ValueOf(into).Elem(), nil)
	}
	return d.Lines, d.Err()
}

// A decoder walks a YAML tree together with the Go value that it decodes into.
type decoder struct{ Report }

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// parse parses the file and returns the body of its only document.
func (d *decoder) parse(data []byte) ast.Node {
	if len(data) > MaxFileBytes {
		d.Add("", "", "is larger than %d bytes", MaxFileBytes)
		return nil
	}
	if nestingBound(data) > maxNesting {
		d.Add("", "", "nests more than %d levels", maxNesting)
		return nil
	}
	tree, err := parseYAML(data)
	if err != nil {
		d.addAt(lineOf(err), "", "", messageOf(err))
		return nil
	}
	var docs []ast.Node
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			docs = append(docs, doc.Body)
		}
	}
	switch {
	case len(docs) == 0:
		d.Add("", "", "is empty")
		return nil
	case len(docs) > 1:
		d.addAt(line(docs[1]), "", "", "holds more than one document")
		return nil
	}
	return docs[0]
}

// decode decodes one node into v.
func (d *decoder) decode(n ast.Node, path string, v reflect.Value, permitted []string) {
	d.Lines[path] = line(n)
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	switch n.Type() {
	case ast.NullType:
		return
	case ast.AliasType, ast.AnchorType, ast.TagType, ast.MergeKeyType:
		d.Add(path, "", "uses an alias, anchor or tag; write the value out")
		return
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, path, v)
	case reflect.PointerTo(v.Type()).Implements(textType):
		d.decodeText(n, path, v)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, path, v)
	case v.Kind() == reflect.Map:
		d.decodeMap(n, path, v)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(n, path, v, permitted)
	default:
		d.decodeScalar(n, path, v, permitted)
	}
}

// decodeStruct decodes a mapping into a struct.
func (d *decoder) decodeStruct(n ast.Node, path string, v reflect.Value) {
	fields := fieldsOf(v.Type())
	d.eachField(n, path, func(key string, m *ast.MappingValueNode) {
		f, ok := fields[key]
		if !ok {
			d.addAt(line(m.Key), join(path, key), namesOf(v.Type()), "is not a known field")
			return
		}
		var permitted []string
		if list := f.Tag.Get("permitted"); list != "" {
			permitted = strings.Split(list, ",")
		}
		d.decode(m.Value, join(path, key), v.FieldByIndex(f.Index), permitted)
	})
}

// decodeMap decodes a mapping into a map with string keys.
func (d *decoder) decodeMap(n ast.Node, path string, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	d.eachField(n, path, func(key string, m *ast.MappingValueNode) {
		item := reflect.New(v.Type().Elem()).Elem()
		d.decode(m.Value, join(path, key), item, nil)
		v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), item)
	})
}

// eachField calls f for every field of a mapping, and reports duplicate
// fields.
func (d *decoder) eachField(n ast.Node, path string, f func(string, *ast.MappingValueNode)) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		d.Add(path, "", "must be a mapping of fields, not %s", describe(n))
		return
	}
	first := map[string]int{}
	for _, m := range values {
		key := keyOf(m)
		if firstLine, duplicate := first[key]; duplicate {
			d.addAt(line(m.Key), join(path, key), "", "stands twice, first on line "+strconv.Itoa(firstLine))
			continue
		}
		first[key] = line(m.Key)
		f(key, m)
	}
}

func (d *decoder) decodeSlice(n ast.Node, path string, v reflect.Value, permitted []string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.Add(path, "", "must be a list, not %s", describe(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, item := range s.Values {
		d.decode(item, path+"["+labelOf(item, i)+"]", v.Index(i), permitted)
	}
}

func (d *decoder) decodeScalar(n ast.Node, path string, v reflect.Value, permitted []string) {
	switch v.Kind() {
	case reflect.String:
		d.decodeString(n, path, v, permitted)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.Add(path, "true, false", "must be true or false, not %s", describe(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int32, reflect.Int64:
		d.decodeInt(n, path, v)
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.decodeUint(n, path, v)
	case reflect.Float64:
		d.decodeFloat(n, path, v)
	default:
		d.Add(path, "", "has a type that settings cannot hold")
	}
}

func (d *decoder) decodeString(n ast.Node, path string, v reflect.Value, permitted []string) {
	s, ok := textOf(n)
	if !ok {
		d.Add(path, strings.Join(permitted, ", "), "must be text, not %s; put it in quotes", describe(n))
		return
	}
	if len(permitted) > 0 && !contains(permitted, s) {
		d.Add(path, strings.Join(permitted, ", "), "is %q", s)
		return
	}
	v.SetString(s)
}

func (d *decoder) decodeInt(n ast.Node, path string, v reflect.Value) {
	i, err := strconv.ParseInt(n.GetToken().Value, 10, v.Type().Bits())
	if _, ok := n.(*ast.IntegerNode); !ok || err != nil {
		d.Add(path, "a whole number", "is %s", describe(n))
		return
	}
	v.SetInt(i)
}

func (d *decoder) decodeUint(n ast.Node, path string, v reflect.Value) {
	i, err := strconv.ParseUint(n.GetToken().Value, 10, v.Type().Bits())
	if _, ok := n.(*ast.IntegerNode); !ok || err != nil {
		d.Add(path, "a whole number, 0 or more", "is %s", describe(n))
		return
	}
	v.SetUint(i)
}

func (d *decoder) decodeFloat(n ast.Node, path string, v reflect.Value) {
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		d.Add(path, "a number", "is %s", describe(n))
		return
	}
	f, err := strconv.ParseFloat(n.GetToken().Value, 64)
	if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
		d.Add(path, "a number", "is %q", n.GetToken().Value)
		return
	}
	v.SetFloat(f)
}

func (d *decoder) decodeDuration(n ast.Node, path string, v reflect.Value) {
	const permitted = "a duration such as 500ms, 2s or 1m30s"
	s, ok := textOf(n)
	if !ok {
		d.Add(path, permitted, "is %s", describe(n))
		return
	}
	duration, err := time.ParseDuration(s)
	if err != nil {
		d.Add(path, permitted, "is %q", s)
		return
	}
	v.SetInt(int64(duration))
}

func (d *decoder) decodeText(n ast.Node, path string, v reflect.Value) {
	s, ok := textOf(n)
	if !ok {
		d.Add(path, "", "must be text, not %s", describe(n))
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.Add(path, "", "%v", err)
	}
}

// parseYAML parses YAML and allows duplicate keys, which the decoder reports
// with their line numbers.
func parseYAML(data []byte) (*ast.File, error) {
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}
