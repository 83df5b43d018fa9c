package envdoc

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is a scalar value that differs between two documents.
type Change struct {
	// Path locates the value, such as "Accounts[franchise-north].Weight".
	Path string
	// Old is the value in the first document; empty when it is missing there.
	Old string
	// New is the value in the second document; empty when it is missing there.
	New string
}

// String formats c as a line of a diff: "+" for an added value, "-" for a removed and "~" for a changed one.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the changes from one document to another, sorted by path. A nil document has no values.
func Diff(from, to *Document) []Change {
	before := flatten(from)
	after := flatten(to)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, Change{Path: path, Old: before[path], New: after[path]})
		}
	}
	return changes
}

// flatten returns the scalar values of a document by path. List elements are keyed by their first field, which is their
// name or size, rather than by their index.
func flatten(doc *Document) map[string]string {
	values := map[string]string{}
	if doc != nil {
		flattenValue(values, reflect.ValueOf(*doc), "")
	}
	return values
}

// flattenValue adds the scalar values within v, which is at path, to values.
func flattenValue(values map[string]string, v reflect.Value, path string) {
	if _, ok := v.Interface().(encoding.TextMarshaler); ok {
		values[path] = fmt.Sprint(v.Interface())
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			flattenValue(values, v.Field(i), joinPath(path, v.Type().Field(i).Name))
		}
	case reflect.Slice:
		for i := range v.Len() {
			flattenValue(values, v.Index(i), fmt.Sprintf("%s[%v]", path, v.Index(i).Field(0).Interface()))
		}
	default:
		values[path] = fmt.Sprint(v.Interface())
	}
}
