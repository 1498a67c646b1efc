package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    file,
		writer:  bufio.NewWriter(file),
		started: time.Now(),
	}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.4f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	fmt.Fprintln(r.writer)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
