package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the record in a folder.
func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note adds a line about an actor.
func (r *record) note(actor, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-12s %s\n", time.Since(r.started).Seconds(), actor, text)
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// notef is note with a format.
func (r *record) notef(actor, format string, args ...any) {
	r.note(actor, fmt.Sprintf(format, args...))
}
