// Package logs sets up structured logs: one line per event, with a fixed prefix for each component.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes key=value lines to out. With debug set, it also writes messages of level V(1).
func New(out io.Writer, debug bool) logr.Logger {
	lvl := slog.LevelInfo
	if debug {
		lvl = slog.LevelDebug
	}
	hdl := slog.NewTextHandler(out, &slog.HandlerOptions{Level: lvl})
	return logr.FromSlogHandler(hdl)
}
