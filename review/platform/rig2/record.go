package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		start: time.Now(),
	}, nil
}

// add writes one line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

func (r *record) at(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
