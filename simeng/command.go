package simeng

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/engine"
)

// CommandOptions configures how the simulated engine handles commands.
type CommandOptions struct {
	Version        string        // model version loaded at the start
	ChecksFencing  bool          // rejects commands whose fencing token is lower than the highest seen
	LoadTime       time.Duration // time to load a version
	FailingVersion string        // version that fails to load
}

// commands is the state of command handling.
type commands struct {
	opts    CommandOptions
	mu      sync.Mutex
	version string
	fence   int64
	loads   int
}

// SetCommands replaces the configuration of commands and the loaded version.
func (eng *Engine) SetCommands(opts CommandOptions) {
	eng.commands.mu.Lock()
	defer eng.commands.mu.Unlock()
	eng.commands.opts = opts
	eng.commands.version = opts.Version
}

// Version returns the loaded version, the highest fencing token seen and the number of versions loaded so far.
func (eng *Engine) Version() (version string, fence int64, loads int) {
	eng.commands.mu.Lock()
	defer eng.commands.mu.Unlock()
	return eng.commands.version, eng.commands.fence, eng.commands.loads
}

// handleCommand serves commands to load a model version.
func (eng *Engine) handleCommand(rw http.ResponseWriter, req *http.Request) {
	var cmd engine.Command
	if err := json.NewDecoder(req.Body).Decode(&cmd); err != nil || cmd.Kind != engine.CommandLoad {
		writeError(rw, trace.BadParameter("simeng: malformed command"))
		return
	}
	if err := eng.acceptFence(cmd); err != nil {
		writeError(rw, err)
		return
	}
	// Loading continues if the sender disconnects.
	_ = eng.clock.Sleep(context.WithoutCancel(req.Context()), eng.loadTime())
	eng.commands.mu.Lock()
	defer eng.commands.mu.Unlock()
	if cmd.Version == eng.commands.opts.FailingVersion {
		http.Error(rw, "loading failed", http.StatusUnprocessableEntity)
		return
	}
	eng.commands.version = cmd.Version
	eng.commands.loads++
}

// loadTime returns the time to load a version.
func (eng *Engine) loadTime() time.Duration {
	eng.commands.mu.Lock()
	defer eng.commands.mu.Unlock()
	return eng.commands.opts.LoadTime
}

// acceptFence records the fencing token of a command. It returns a trace.CompareFailed error for a stale token.
func (eng *Engine) acceptFence(cmd engine.Command) error {
	eng.commands.mu.Lock()
	defer eng.commands.mu.Unlock()
	if eng.commands.opts.ChecksFencing && cmd.Fence < eng.commands.fence {
		return trace.CompareFailed("simeng: fencing token %d is lower than %d", cmd.Fence, eng.commands.fence)
	}
	eng.commands.fence = max(eng.commands.fence, cmd.Fence)
	return nil
}
