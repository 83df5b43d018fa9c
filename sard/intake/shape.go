package intake

import (
	"fmt"
)

// Shape bounds what a JSON text becomes when it is decoded: many small elements take far more memory than their bytes.
type Shape struct {
	// Objects is the number of objects, and Values that of all values and keys.
	Objects, Values int
	// Depth is how deeply objects and arrays may be nested.
	Depth int
}

// Check returns an error if a text exceeds the shape. It does not tell whether the text is valid JSON.
func (s Shape) Check(text []byte) error {
	objects, values, depth := 0, 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i+1)
		case '{', '[':
			if text[i] == '{' {
				objects++
			}
			values++
			depth++
		case '}', ']':
			depth--
		case ',', ':':
			values++
		}
		if objects > s.Objects || values > s.Values || depth > s.Depth {
			return s.exceeded(objects, depth)
		}
	}
	return nil
}

// exceeded returns the error for a text whose numbers of objects, values or depth are too large.
func (s Shape) exceeded(objects, depth int) error {
	switch {
	case objects > s.Objects:
		return fmt.Errorf("the body has more than %d objects", s.Objects)
	case depth > s.Depth:
		return fmt.Errorf("the body is nested more than %d levels deep", s.Depth)
	}
	return fmt.Errorf("the body has more than %d values", s.Values)
}

// endOfString returns the index of the quotation mark that ends a string, or the length of the text if there is none.
func endOfString(text []byte, from int) int {
	for i := from; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
