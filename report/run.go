// Package report turns the logs and metrics of fronts into a page with plots for operators: time to first event against
// its prediction, refusals, load by replica, age of the load view, and calls that ended without a complete response.
package report

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Messages of the log that the report reads.
const (
	msgCallEnded    = "relay: call ended"
	msgLinesDropped = "logs: lines dropped"
)

const maxLineBytes = 1 << 20

// Run holds what the logs and metrics of a run tell. The zero value is empty.
type Run struct {
	calls      []call
	processes  map[string]bool
	begin, end time.Time // of the calls that ended
	dropped    int       // lines that the processes did not write
	malformed  int       // lines of the messages above that could not be read
	counts     metrics
}

// Calls returns the number of calls that the logs tell of.
func (run *Run) Calls() int { return len(run.calls) }

// ReadLog adds the lines of one log. Lines of other messages, and of other programs, have no effect.
func (run *Run) ReadLog(rd io.Reader) error {
	scn := bufio.NewScanner(rd)
	scn.Buffer(nil, maxLineBytes)
	for scn.Scan() {
		run.readLine(scn.Text())
	}
	if err := scn.Err(); err != nil {
		return fmt.Errorf("report: read log: %w", err)
	}
	return nil
}

func (run *Run) readLine(line string) {
	ended, dropped := strings.Contains(line, msgCallEnded), strings.Contains(line, msgLinesDropped)
	if !ended && !dropped {
		return
	}
	fds, err := parseLine(line)
	switch {
	case err != nil:
		run.malformed++
	case fds["msg"] == msgCallEnded:
		run.addCall(fds)
	case fds["msg"] == msgLinesDropped:
		num, err := strconv.Atoi(fds["lines"])
		if err != nil {
			run.malformed++
		}
		run.dropped += num
	}
}

func (run *Run) addCall(fds fields) {
	cal, err := callOf(fds)
	if err != nil {
		run.malformed++
		return
	}
	if run.processes == nil {
		run.processes = make(map[string]bool)
	}
	run.processes[fds["process"]] = true
	if run.begin.IsZero() || cal.endedAt.Before(run.begin) {
		run.begin = cal.endedAt
	}
	if cal.endedAt.After(run.end) {
		run.end = cal.endedAt
	}
	run.calls = append(run.calls, cal)
}

// seconds returns the time of a call's end since the first call of the run.
func (run *Run) seconds(cal *call) float64 { return cal.endedAt.Sub(run.begin).Seconds() }
