package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startAt: time.Now()}, nil
}

// log writes a line with the seconds since the start.
func (rec *record) log(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(rec.startAt).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(rec.file, line)
	fmt.Println(line)
}

func (rec *record) close() { _ = rec.file.Close() }
