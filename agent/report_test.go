package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnsentReportKeepsEntriesDue guards against entries that never learn that another one drains: the report loop
// builds reports that it does not send, and these must not count as the report that lists the entries.
func TestUnsentReportKeepsEntriesDue(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, fastModel(), "")
	rig.startAgent()
	iis.NoErr(rig.grp.Stop()) // The report loop sends a report of its own once the agent is healthy.
	cfg := rig.agent.config
	cfg.mu.Lock()
	cfg.entriesSentAt = time.Time{}
	cfg.mu.Unlock()
	rep := rig.agent.report()
	iis.True(cfg.entriesDue(rep.StateVersion))
	iis.True(!cfg.entriesDue(rep.StateVersion))
}
