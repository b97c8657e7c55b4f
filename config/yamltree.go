package config

import (
	"errors"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// maxNesting bounds the nesting of a file.
const maxNesting = 64

// nestingBound returns an upper bound on the nesting depth of a document, from
// its brackets and the indicators at the start of its lines.
func nestingBound(data []byte) int {
	deepest, open, marks := 0, 0, 0
	atStart := true
	for _, c := range data {
		switch c {
		case '[', '{':
			open++
		case ']', '}':
			open = max(open-1, 0)
		case '\n':
			marks, atStart = 0, true
			continue
		case '-', '?', ':':
			if atStart {
				marks++
			}
		case ' ', '\t':
		default:
			atStart = false
		}
		deepest = max(deepest, open+marks)
	}
	return deepest
}

// fieldsOf returns the fields of a struct by their YAML names.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for _, f := range reflect.VisibleFields(t) {
		if !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch name {
		case "-":
			continue
		case "":
			name = strings.ToLower(f.Name)
		}
		fields[name] = f
	}
	return fields
}

// namesOf returns the sorted YAML names of the fields of a struct.
func namesOf(t reflect.Type) string {
	var names []string
	for name := range fieldsOf(t) {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func keyOf(m *ast.MappingValueNode) string {
	if s, ok := m.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return m.Key.GetToken().Value
}

// textOf returns the value of a plain, quoted or block string.
func textOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	default:
		return "", false
	}
}

// labelOf returns the name or id of a list item, or its index if it has
// neither.
func labelOf(item ast.Node, i int) string {
	m, ok := item.(*ast.MappingNode)
	if !ok {
		return strconv.Itoa(i)
	}
	for _, value := range m.Values {
		if key := keyOf(value); key == "name" || key == "id" {
			if s, ok := textOf(value.Value); ok {
				return label(s, i)
			}
		}
	}
	return strconv.Itoa(i)
}

// label returns the name of a list item, or its index if the name is empty or
// contains characters that have a meaning in a field path.
func label(name string, i int) string {
	if name == "" || strings.ContainsAny(name, ".[]") {
		return strconv.Itoa(i)
	}
	return name
}

// describe returns a description of a node for error messages.
func describe(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.BoolType:
		return "the truth value " + n.GetToken().Value
	case ast.StringType, ast.LiteralType:
		return "the text " + n.GetToken().Value
	default:
		return n.GetToken().Value
	}
}

func line(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
			return line(m.Values[0].Key)
		}
		if m, ok := n.(*ast.MappingValueNode); ok {
			return line(m.Key)
		}
		return t.Position.Line
	}
	return 0
}

func lineOf(err error) int {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil && e.GetToken().Position != nil {
		return e.GetToken().Position.Line
	}
	return 0
}

func messageOf(err error) string {
	var e yaml.Error
	if errors.As(err, &e) {
		return "is not YAML: " + e.GetMessage()
	}
	return "is not YAML: " + err.Error()
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }
