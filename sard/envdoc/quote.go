package envdoc

import (
	"strconv"
	"unicode/utf8"
)

const (
	// maxExcerpt is the number of characters of a value that a message repeats.
	maxExcerpt = 80
	// ellipsis stands for what an excerpt leaves out.
	ellipsis = "..."
)

// excerpt returns the beginning of a text that a message repeats.
func excerpt(text string) string {
	if utf8.RuneCountInString(text) <= maxExcerpt {
		return text
	}
	return string([]rune(text)[:maxExcerpt]) + ellipsis
}

// quote returns an excerpt of a text in quotes, with control characters escaped.
func quote(text string) string {
	return strconv.Quote(excerpt(text))
}
