package envdoc

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// position is a location in the text of a document. Lines and columns count from 1; the zero position is unknown.
type position struct{ line, column int }

// decoder decodes a YAML syntax tree by reflection. It continues after a problem, so that all are reported at once.
type decoder struct {
	// positions holds the position of each decoded value by its path.
	positions map[string]position
	problems  Problems
}

// decode decodes a YAML or JSON text into doc. The keys of mappings are field names.
func (d *decoder) decode(text []byte, doc *Document) {
	d.positions = map[string]position{}
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	bodies := nonEmptyBodies(file)
	switch len(bodies) {
	case 0:
		d.addProblemAt(position{line: 1, column: 1}, "", "the document is empty")
	case 1:
		d.decodeValue(bodies[0], reflect.ValueOf(doc).Elem(), "")
	default:
		d.addProblemAt(positionOf(bodies[1]), "", "the text must contain only one document")
	}
}

// nonEmptyBodies returns the documents of a YAML stream that are not empty. A directive counts as a document.
func nonEmptyBodies(file *ast.File) []ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	return bodies
}

// addSyntaxError adds a problem for a parser error, at the position of the offending token.
func (d *decoder) addSyntaxError(err error) {
	var located yaml.Error
	if !errors.As(err, &located) {
		d.addProblemAt(position{}, "", err.Error())
		return
	}
	pos := position{}
	if tk := located.GetToken(); tk != nil && tk.Position != nil {
		pos = position{line: tk.Position.Line, column: tk.Position.Column}
	}
	d.addProblemAt(pos, "", located.GetMessage())
}

// decodeValue decodes a node into v. A null leaves v unchanged; anchors, aliases and tags are not supported.
func (d *decoder) decodeValue(node ast.Node, v reflect.Value, path string) {
	d.positions[path] = positionOf(node)
	switch node.Type() {
	case ast.NullType:
		return
	case ast.AnchorType, ast.AliasType, ast.TagType:
		d.addTypeError(node, path, "a plain value")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, v, path)
	case reflect.Slice:
		d.decodeSlice(node, v, path)
	default:
		d.decodeScalar(node, v, path)
	}
}

// decodeStruct decodes a mapping into a struct. Duplicate and unknown keys are problems.
func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.addTypeError(node, path, "a mapping")
		return
	}
	seen := map[string]bool{}
	for it := mapping.MapRange(); it.Next(); {
		key := keyText(it.Key())
		keyPath := joinPath(path, excerpt(key))
		keyPosition := positionOf(it.Key())
		field := v.FieldByName(key)
		switch {
		case seen[key]:
			d.addProblemAt(keyPosition, keyPath, "duplicate key")
		case !field.IsValid():
			d.addProblemAt(keyPosition, keyPath, "unknown key; known keys are "+fieldNames(v.Type()))
		default:
			d.decodeValue(it.Value(), field, keyPath)
		}
		seen[key] = true
	}
}

// decodeSlice appends the elements of a list to a slice.
func (d *decoder) decodeSlice(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(ast.ArrayNode)
	if !ok {
		d.addTypeError(node, path, "a list")
		return
	}
	for it := list.ArrayRange(); it.Next(); {
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		i := v.Len() - 1
		d.decodeValue(it.Value(), v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// decodeText decodes a string by its UnmarshalText method.
func (d *decoder) decodeText(node ast.Node, u encoding.TextUnmarshaler, path string) {
	text, ok := stringOf(node)
	if !ok {
		d.addTypeError(node, path, "text")
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.addProblemAt(positionOf(node), path, excerpt(err.Error()))
	}
}

// decodeScalar decodes a string, an integer or a floating-point number.
func (d *decoder) decodeScalar(node ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		text, ok := stringOf(node)
		if !ok {
			d.addTypeError(node, path, "text")
			return
		}
		v.SetString(text)
	case reflect.Int, reflect.Int64:
		n, ok := integerOf(node)
		if !ok || v.OverflowInt(n) {
			d.addTypeError(node, path, "an integer")
			return
		}
		v.SetInt(n)
	case reflect.Float64:
		x, ok := floatOf(node)
		if !ok {
			d.addTypeError(node, path, "a number")
			return
		}
		v.SetFloat(x)
	default:
		d.addTypeError(node, path, v.Kind().String())
	}
}

// addTypeError adds a problem with a node of the wrong type.
func (d *decoder) addTypeError(node ast.Node, path, expected string) {
	d.addProblemAt(positionOf(node), path, fmt.Sprintf("must be %s, not %s", expected, describeNode(node)))
}

// addProblemAt adds a problem at a position of the text.
func (d *decoder) addProblemAt(pos position, path, message string) {
	d.problems = append(d.problems, Problem{Line: pos.line, Column: pos.column, Path: path, Message: message})
}

// addProblem adds a problem with the value at path. A value that is missing from the text is reported at the position
// of the nearest value that encloses it.
func (d *decoder) addProblem(path, message string) {
	d.addProblemAt(d.nearestPosition(path), path, message)
}

// nearestPosition returns the position of the value at path, or of the nearest enclosing value that is in the text.
func (d *decoder) nearestPosition(path string) position {
	for p := path; ; p = parentPath(p) {
		if pos, ok := d.positions[p]; ok {
			return pos
		}
		if p == "" {
			return position{}
		}
	}
}
