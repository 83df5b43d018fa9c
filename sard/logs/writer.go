// Package logs writes log lines in the background, so that logging never blocks.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

const (
	// maxBufferedLines is the number of lines that are buffered while the output is slow or blocked, and maxBufferedBytes their
	// size: a line may quote what a client has sent.
	maxBufferedLines = 2048
	maxBufferedBytes = 1 << 20
	// flushTimeout is how long Flush waits for the buffered lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that passes lines to another one in the background. While that one blocks and the buffer is
// full, lines are dropped and counted. Before the next line that it writes, it reports how many were dropped.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// bufferedBytes is the size of the lines in the buffer.
	bufferedBytes atomic.Int64

	mu sync.Mutex
	// unreportedDrops counts the lines dropped since the last report in the log.
	unreportedDrops uint64
	totalDrops      uint64
}

// NewWriter creates a Writer to out. Lines are written while Run runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxBufferedLines)}
}

// Write queues a line, or drops it if the buffer is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.queue(line) {
		w.mu.Lock()
		w.unreportedDrops++
		w.totalDrops++
		w.mu.Unlock()
	}
	return len(line), nil
}

// queue adds a line to the buffer. It returns false if the buffer is full.
func (w *Writer) queue(line []byte) bool {
	if w.bufferedBytes.Add(int64(len(line))) > maxBufferedBytes {
		w.bufferedBytes.Add(-int64(len(line)))
		return false
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		return true
	default:
		w.bufferedBytes.Add(-int64(len(line)))
		return false
	}
}

// Dropped returns the number of lines that were dropped since the Writer was created.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Run writes lines until ctx ends, and then those that are still in the buffer.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			return w.drain()
		}
	}
}

// drain writes the lines that are in the buffer and returns when it is empty.
func (w *Writer) drain() error {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return nil
		}
	}
}

// writeLine writes a line, preceded by a report of the lines that were dropped before it.
func (w *Writer) writeLine(line []byte) {
	w.mu.Lock()
	dropped := w.unreportedDrops
	w.unreportedDrops = 0
	w.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	// An error is ignored: there is nowhere to report that the log can't be written.
	_, _ = w.out.Write(line)
	w.bufferedBytes.Add(-int64(len(line)))
}

// Flush waits until no lines are buffered, at most flushTimeout.
func (w *Writer) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for len(w.lines) > 0 && time.Now().Before(deadline) {
		clock.Sleep(context.Background(), time.Millisecond)
	}
}
