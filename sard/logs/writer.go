// Package logs writes log lines without ever making their writer wait.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

const (
	// bufferLines is how many lines may wait for a slow reader.
	bufferLines = 2048
	// flushTime is how long Flush waits for the last lines to be taken.
	flushTime = 300 * time.Millisecond
)

// Writer is an io.Writer that hands lines to another one in the background. When that one is stuck, lines are dropped
// and counted; a line that tells how many were dropped follows once it takes lines again.
type Writer struct {
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	dropped uint64
	total   uint64
}

// NewWriter makes a Writer; Run hands its lines on.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, bufferLines)}
}

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.mu.Lock()
		w.dropped++
		w.total++
		w.mu.Unlock()
	}
	return len(line), nil
}

// Dropped returns how many lines were ever dropped.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Run hands lines on until ctx ends and no more wait.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.hand(line)
		case <-ctx.Done():
			return w.rest()
		}
	}
}

// rest hands on the lines that wait.
func (w *Writer) rest() error {
	for {
		select {
		case line := <-w.lines:
			w.hand(line)
		default:
			return nil
		}
	}
}

// hand writes a line, after one about the lines that were dropped before it.
func (w *Writer) hand(line []byte) {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	// There is nowhere left to tell that the log can't be written.
	_, _ = w.out.Write(line)
}

// Flush waits for a short time until no lines wait.
func (w *Writer) Flush() {
	limit := time.Now().Add(flushTime)
	for len(w.lines) > 0 && time.Now().Before(limit) {
		clock.Sleep(context.Background(), time.Millisecond)
	}
}
