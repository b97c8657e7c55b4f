package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// emptyCell is printed for a missing or empty value.
const emptyCell = "-"

// A document is a decoded JSON value of any shape.
type document = any

// printTables prints a JSON document: each list of objects as a table, and each
// other value on one line.
func printTables(w io.Writer, body []byte) error {
	var doc document
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	if err := dec.Decode(&doc); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printDocument(tw, "", doc)
	return tw.Flush()
}

// printDocument prints a value with its dotted name.
func printDocument(w io.Writer, name string, doc document) {
	switch v := doc.(type) {
	case map[string]document:
		for _, key := range sortedKeys(v) {
			printDocument(w, strings.TrimPrefix(name+"."+key, "."), v[key])
		}
	case []document:
		printList(w, name, v)
	default:
		fmt.Fprintf(w, "%s\t%s\n", name, cell(v))
	}
}

// printList prints a list of objects as a table, and any other list on one line.
func printList(w io.Writer, name string, list []document) {
	columns := columnsOf(list)
	if len(columns) == 0 {
		fmt.Fprintf(w, "%s\t%s\n", name, cell(list))
		return
	}
	if name != "" {
		fmt.Fprintf(w, "\n%s\n", name)
	}
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, item := range list {
		object := map[string]document{}
		flatten(object, "", item)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = cell(object[column])
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// flatten adds the fields of an object to flat. Fields of nested objects get
// dotted names.
func flatten(flat map[string]document, name string, doc document) {
	object, ok := doc.(map[string]document)
	if !ok {
		flat[name] = doc
		return
	}
	for key, value := range object {
		flatten(flat, strings.TrimPrefix(name+"."+key, "."), value)
	}
}

// columnsOf returns the field names of all objects in a list: identifying fields
// first, the others in alphabetical order. Fields that are empty in all objects
// are left out. It returns nil if the list has other values than objects.
func columnsOf(list []document) []string {
	all := map[string]document{}
	for _, item := range list {
		if _, ok := item.(map[string]document); !ok {
			return nil
		}
		object := map[string]document{}
		flatten(object, "", item)
		for key, value := range object {
			if cell(value) != emptyCell {
				all[key] = nil
			}
		}
	}
	return sortedKeys(all)
}

func sortedKeys(object map[string]document) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if isIdentifying(keys[i]) != isIdentifying(keys[j]) {
			return isIdentifying(keys[i])
		}
		return keys[i] < keys[j]
	})
	return keys
}

// isIdentifying reports whether a field identifies its object.
func isIdentifying(key string) bool {
	key = strings.ToLower(key[strings.LastIndex(key, ".")+1:])
	return key == "id" || key == "name" || key == "version" || key == "customer" || key == "duty"
}

// cell formats a value for one cell.
func cell(doc document) string {
	switch v := doc.(type) {
	case nil:
		return emptyCell
	case string:
		return textCell(v)
	case json.Number:
		return numberCell(v)
	case []document:
		return listCell(v)
	default:
		data, _ := json.Marshal(v)
		return string(data)
	}
}

// numberCell formats a number for one cell: integers with all digits, others with
// three decimal places.
func numberCell(n json.Number) string {
	if _, err := n.Int64(); err == nil {
		return n.String()
	}
	f, err := n.Float64()
	if err != nil {
		return n.String()
	}
	return strings.TrimSuffix(fmt.Sprintf("%.3f", f), ".000")
}

// textCell formats a string for one cell. The zero time counts as empty.
func textCell(s string) string {
	if s == "" || strings.HasPrefix(s, "0001-01-01T") {
		return emptyCell
	}
	return s
}

// listCell formats the elements of a list for one cell.
func listCell(list []document) string {
	if len(list) == 0 {
		return emptyCell
	}
	cells := make([]string, len(list))
	for i, item := range list {
		cells[i] = cell(item)
	}
	return strings.Join(cells, " ")
}
