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

// position is a place in a document's text, from 1.
type position struct{ line, column int }

// decoder fills a value from a syntax tree. It goes on after a problem, so that all are found at once.
type decoder struct {
	// at holds the position of each value by its path.
	at       map[string]position
	problems Problems
}

// decode reads the text into doc. Keys are the field names.
func (d *decoder) decode(text []byte, doc *Document) {
	d.at = map[string]position{}
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return
	}
	bodies := bodiesOf(file)
	switch len(bodies) {
	case 0:
		d.add(position{line: 1, column: 1}, "", "the document is empty")
	case 1:
		d.value(bodies[0], reflect.ValueOf(doc).Elem(), "")
	default:
		d.add(positionOf(bodies[1]), "", "only one document is allowed")
	}
}

// bodiesOf returns the documents of a file that are not empty, its directives among them.
func bodiesOf(file *ast.File) []ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	return bodies
}

func (d *decoder) syntax(err error) {
	var located yaml.Error
	if !errors.As(err, &located) {
		d.add(position{}, "", err.Error())
		return
	}
	p := position{}
	if tk := located.GetToken(); tk != nil && tk.Position != nil {
		p = position{line: tk.Position.Line, column: tk.Position.Column}
	}
	d.add(p, "", located.GetMessage())
}

func (d *decoder) value(node ast.Node, v reflect.Value, path string) {
	d.at[path] = positionOf(node)
	switch node.Type() {
	case ast.NullType:
		return
	case ast.AnchorType, ast.AliasType, ast.TagType:
		d.wrong(node, path, "a plain value")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(node, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.fields(node, v, path)
	case reflect.Slice:
		d.elements(node, v, path)
	default:
		d.scalar(node, v, path)
	}
}

func (d *decoder) fields(node ast.Node, v reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.wrong(node, path, "a mapping")
		return
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := keyText(it.Key())
		inner := join(path, key)
		at := positionOf(it.Key())
		field := v.FieldByName(key)
		switch {
		case seen[key]:
			d.add(at, inner, "the key is given twice")
		case !field.IsValid():
			d.add(at, inner, "unknown key; known are "+fieldNames(v.Type()))
		default:
			d.value(it.Value(), field, inner)
		}
		seen[key] = true
	}
}

func (d *decoder) elements(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(ast.ArrayNode)
	if !ok {
		d.wrong(node, path, "a list")
		return
	}
	for it := list.ArrayRange(); it.Next(); {
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		i := v.Len() - 1
		d.value(it.Value(), v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) text(node ast.Node, u encoding.TextUnmarshaler, path string) {
	text, ok := stringOf(node)
	if !ok {
		d.wrong(node, path, "text")
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.add(positionOf(node), path, err.Error())
	}
}

func (d *decoder) scalar(node ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		text, ok := stringOf(node)
		if !ok {
			d.wrong(node, path, "text")
			return
		}
		v.SetString(text)
	case reflect.Int, reflect.Int64:
		n, ok := integerOf(node)
		if !ok || v.OverflowInt(n) {
			d.wrong(node, path, "a whole number")
			return
		}
		v.SetInt(n)
	case reflect.Float64:
		x, ok := floatOf(node)
		if !ok {
			d.wrong(node, path, "a number")
			return
		}
		v.SetFloat(x)
	default:
		d.wrong(node, path, v.Kind().String())
	}
}

func (d *decoder) wrong(node ast.Node, path, want string) {
	d.add(positionOf(node), path, fmt.Sprintf("must be %s, not %s", want, describe(node)))
}

func (d *decoder) add(at position, path, message string) {
	d.problems = append(d.problems, Problem{Line: at.line, Column: at.column, Path: path, Message: message})
}

// locate adds a problem with the value at path. A value that is not in the text takes the place of the one around it.
func (d *decoder) locate(path, message string) {
	d.add(d.nearest(path), path, message)
}

func (d *decoder) nearest(path string) position {
	for p := path; ; p = parent(p) {
		if at, ok := d.at[p]; ok {
			return at
		}
		if p == "" {
			return position{}
		}
	}
}
