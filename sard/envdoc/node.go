package envdoc

import (
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// positionOf returns the position of a YAML node in the text. A mapping is located at its first key.
func positionOf(node ast.Node) position {
	if node == nil {
		return position{}
	}
	if m, ok := node.(ast.MapNode); ok {
		if it := m.MapRange(); it.Next() {
			return positionOf(it.Key())
		}
	}
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return position{}
	}
	return position{line: tk.Position.Line, column: tk.Position.Column}
}

// keyText returns the text of a mapping key.
func keyText(key ast.MapKeyNode) string {
	if text, ok := stringOf(key); ok {
		return text
	}
	return key.String()
}

// stringOf returns the value of a quoted, plain or block string.
func stringOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// integerOf returns the value of an integer that fits an int64.
func integerOf(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch x := n.Value.(type) {
	case int64:
		return x, true
	case uint64:
		return int64(x), x <= math.MaxInt64
	}
	return 0, false
}

// floatOf returns the value of a floating-point number or an integer.
func floatOf(node ast.Node) (float64, bool) {
	if n, ok := node.(*ast.FloatNode); ok {
		return n.Value, true
	}
	n, ok := integerOf(node)
	return float64(n), ok
}

// describeNode returns what a node is, such as "a list", for the message about a value of the wrong type.
func describeNode(node ast.Node) string {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or alias"
	case *ast.TagNode:
		return "a tag"
	case ast.MapNode:
		return "a mapping"
	case ast.ArrayNode:
		return "a list"
	}
	return quote(node.String())
}

// fieldNames lists the field names of a struct type.
func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return strings.Join(names, ", ")
}

// joinPath appends a key to the path of a mapping.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// parentPath returns the path of the value that contains the one at path; "" is the document itself.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
