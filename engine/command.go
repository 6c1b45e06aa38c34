package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// CommandLoad is the Kind of a command to load a version of a model in place of the current one.
const CommandLoad = "load"

// Command makes an engine change what it serves. Engines that check the fencing token reject a command whose token is
// lower than the highest that they have seen; other engines ignore the token.
type Command struct {
	Fence   int64  `json:"fence"` // fencing token
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// SendCommand sends a command and returns when the engine has carried it out, which can take minutes; only ctx bounds
// it. The error is trace.CompareFailed for an old fencing token, trace.NotFound for an unknown version,
// trace.BadParameter if the engine rejects the command otherwise, and trace.ConnectionProblem if it is unknown whether
// the command was or will be carried out.
func (cli *Client) SendCommand(ctx context.Context, cmd Command) error {
	raw, err := json.Marshal(cmd)
	if err != nil {
		return fmt.Errorf("engine: encode command: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cli.base+"/v1/commands", bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("engine: build command: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := cli.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine: command %s: %w", cmd.Kind, trace.ConnectionProblem(err, "%v", err))
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode < http.StatusBadRequest:
		return nil
	case resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusPreconditionFailed:
		return fmt.Errorf("engine: command %s: %w", cmd.Kind, trace.CompareFailed("fencing token %d is old", cmd.Fence))
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("engine: command %s: %w", cmd.Kind, trace.NotFound("unknown version %s", cmd.Version))
	case resp.StatusCode < http.StatusInternalServerError:
		return fmt.Errorf("engine: command %s: %w", cmd.Kind, trace.BadParameter("status %s", resp.Status))
	default:
		return fmt.Errorf("engine: command %s: %w", cmd.Kind, trace.ConnectionProblem(nil, "status %s", resp.Status))
	}
}
