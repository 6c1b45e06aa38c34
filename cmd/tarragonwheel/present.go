package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tarragonwheel/tarragonwheel/admin"
	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// line writes a formatted line.
func line(out *strings.Builder, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

func formatValue(val state.Value) string {
	if val.Absent() {
		return "absent"
	}
	raw, err := json.Marshal(val)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// formatTime formats a time in milliseconds since the epoch.
func formatTime(milliseconds int64) string {
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}

func writeChanges(out *strings.Builder, list []state.Change) {
	for idx, chg := range list {
		line(out, "  %d. %s: %s -> %s", idx+1, chg.Key, formatValue(chg.Before), formatValue(chg.After))
	}
}

func writeConflicts(out *strings.Builder, list []state.Conflict) {
	for _, con := range list {
		line(out, "  %s was changed by %s with plan %s (version %d, planned from %d)",
			con.Key, con.Operator, con.Plan, con.Version, con.Planned)
	}
}

func writePlan(out *strings.Builder, pla intent.Plan) {
	line(out, "Plan %s, made from version %d, would change:", pla.ID, pla.From)
	writeChanges(out, pla.Changes)
	line(out, "Accounts affected: %s", strings.Join(pla.Accounts, ", "))
	var models []string
	for model := range pla.Replicas {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		line(out, "Replicas left of %s: %d", model, pla.Replicas[model])
	}
	for _, text := range pla.Warnings {
		line(out, "WARNING: %s", text)
	}
}

func writeOutcome(out *strings.Builder, res admin.Outcome) {
	line(out, "Plan %s: %s", res.Plan, res.Outcome)
	if res.Repeated {
		line(out, "It had been confirmed before; this confirm changed nothing.")
	}
	if res.Reason != "" {
		line(out, "Refused: %s", res.Reason)
	}
	if res.Detail != "" {
		line(out, "%s", res.Detail)
	}
	writeConflicts(out, res.Conflicts)
}

func writeStatus(out *strings.Builder, sta admin.Status) {
	line(out, "Version %d, ready: %t", sta.Version, sta.Ready)
	if sta.Gap != nil {
		line(out, "WARNING: records %d to %d expired before they were read", sta.Gap.First, sta.Gap.Last)
	}
	for _, prc := range sta.Processes {
		notes := ""
		if prc.Version < sta.Version {
			notes = fmt.Sprintf("  LAGGING for %s", prc.Lag.Round(time.Millisecond))
		}
		if prc.Draining {
			notes += "  stopping"
		}
		line(out, "  %-8s %-24s version %d, seen %s ago%s",
			prc.Role, prc.Name, prc.Version, prc.SinceUpdate.Round(time.Millisecond), notes)
	}
	for _, prg := range sta.RollOuts {
		line(out, "  roll-out of %s %s: %d of %d upstreams done%s",
			prg.Model, prg.Version, prg.Done, prg.Upstreams, rollOutText(prg))
	}
	for _, nam := range sta.Objects {
		line(out, "  %s: %s", nam.Key, formatValue(nam.Object.Value))
	}
}

func rollOutText(prg duty.Progress) string {
	text := ""
	if len(prg.Loading) > 0 {
		text += ", loading: " + strings.Join(prg.Loading, ", ")
	}
	if len(prg.Failed) > 0 {
		text += ", failed: " + strings.Join(prg.Failed, ", ")
	}
	if prg.Wait != "" {
		text += ", waits: " + prg.Wait
	}
	return text
}

func writeHistory(out *strings.Builder, his admin.History) {
	for _, past := range his.Confirms {
		result := "in force"
		if past.Reason != "" {
			result = "refused: " + past.Reason
		}
		line(out, "%s  version %d  plan %s  %s  %s", formatTime(past.At), past.Offset, past.Plan, past.Operator, result)
		writeChanges(out, past.Changes)
		writeConflicts(out, past.Conflicts)
	}
}

func writeExplanation(out *strings.Builder, exp admin.Explanation) {
	for _, nam := range exp.Objects {
		obj := nam.Object
		line(out, "%s: %s\n  set by %s at %s with plan %s (version %d)", nam.Key, formatValue(obj.Value),
			obj.Operator, formatTime(obj.At), obj.Plan, obj.Version)
	}
}
