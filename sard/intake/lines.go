package intake

import "bytes"

// maxHeaderLines is the number of lines of a header, with some room for empty lines before it.
const maxHeaderLines = maxHeaderFields + 8

// lineCounter counts the lines of a header as it arrives. Each line takes far more memory than its bytes once it is parsed.
type lineCounter struct {
	lines int
	// inLine is set if the current line is not empty so far, and ended once an empty line has ended the header.
	inLine, ended bool
}

// count counts the lines in further bytes, up to the end of the header, and returns their number so far.
func (l *lineCounter) count(data []byte) int {
	for !l.ended && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			l.inLine = l.inLine || len(bytes.TrimRight(data, "\r")) > 0
			return l.lines
		}
		empty := !l.inLine && len(bytes.TrimRight(data[:end], "\r")) == 0
		l.ended = empty && l.lines > 0
		l.inLine = false
		l.lines++
		data = data[end+1:]
	}
	return l.lines
}
