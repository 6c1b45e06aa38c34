package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the play.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(name string) (*recorder, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("open the record: %w", err)
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// add writes a line.
func (rec *recorder) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f "+format+"\n", append([]any{time.Since(rec.start).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (rec *recorder) say(format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
