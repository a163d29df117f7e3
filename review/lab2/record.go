//go:build review

package lab2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to record.txt.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// Since returns the time since the start.
func (r *Recorder) Since() time.Duration { return time.Since(r.started) }

// Log writes a line: the time, the event, and names with values.
func (r *Recorder) Log(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		text, err := json.Marshal(fields[i+1])
		if err != nil {
			text = []byte(fmt.Sprint(fields[i+1]))
		}
		fmt.Fprintf(r.out, " %v=%s", fields[i], text)
	}
	fmt.Fprintln(r.out)
}

// Close writes the rest and closes the file.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
