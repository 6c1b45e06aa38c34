// Package intent turns declarations of operators into plans.
//
// A declaration is an INI file. Each section declares one object, for example [upstream u1], and the section [end]
// closes the file, so that a file cut short is noticed. Objects that are not declared stay as they are.
package intent

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/tarragonwheel/tarragonwheel/state"
)

const endSection = "end"

// keys are the keys that a section of each kind may have. Every kind has "removed" as well.
var keys = map[state.Kind][]string{
	state.KindAccount:  {"models", "limit"},
	state.KindUpstream: {"drained", "checks-fencing"},
	state.KindStop:     {"upstreams", "at"},
	state.KindModel:    {"version", "replicas"},
	state.KindService:  {"repeatable"},
}

// Parse reads a declaration. It refuses the whole file with a trace.BadParameter error that names file, line or key,
// and the reason.
func Parse(file, text string) ([]state.Operation, error) {
	if err := scan(file, text); err != nil {
		return nil, err
	}
	raw, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(text))
	if err != nil {
		return nil, trace.BadParameter("intent: %s: %v", file, err)
	}
	var list []state.Operation
	for _, sec := range raw.Sections() {
		if sec.Name() == ini.DefaultSection || sec.Name() == endSection {
			continue
		}
		opr, err := operation(sec)
		if err != nil {
			return nil, trace.BadParameter("intent: %s: [%s]: %v", file, sec.Name(), err)
		}
		list = append(list, opr)
	}
	if len(list) == 0 {
		return nil, trace.BadParameter("intent: %s: declares nothing", file)
	}
	return list, nil
}

// scan refuses what the INI library would merge or accept silently: repeated sections and keys, keys outside sections,
// and a file without its end.
func scan(file, text string) error {
	seen := make(map[string]int)
	section := ""
	for idx, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		name, _, _ := strings.Cut(line, "=")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case section == "["+endSection+"]":
			return trace.BadParameter("intent: %s:%d: text after [%s]", file, idx+1, endSection)
		case line[0] == '[':
			section, name = line, line
		case section == "":
			return trace.BadParameter("intent: %s:%d: key outside a section", file, idx+1)
		default:
			name = section + " " + strings.TrimSpace(name)
		}
		if first, again := seen[name]; again {
			return trace.BadParameter("intent: %s:%d: %s is there already in line %d", file, idx+1, name, first)
		}
		seen[name] = idx + 1
	}
	if section != "["+endSection+"]" {
		return trace.BadParameter("intent: %s: does not end with [%s]: the file may be cut short", file, endSection)
	}
	return nil
}

func operation(sec *ini.Section) (state.Operation, error) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	allowed, ok := keys[state.Kind(kind)]
	if !ok || name == "" || strings.ContainsAny(name, " \t\"") {
		return state.Operation{}, trace.BadParameter(
			"want a kind (account, upstream, planned-stop, model, service) and a name")
	}
	opr := state.Operation{Key: state.NewKey(state.Kind(kind), name)}
	for _, key := range sec.Keys() {
		if key.Name() != "removed" && !slices.Contains(allowed, key.Name()) {
			return opr, trace.BadParameter("%s: unknown key", key.Name())
		}
	}
	rdr := &reader{sec: sec}
	if removed := rdr.flag("removed"); removed {
		if len(sec.Keys()) > 1 {
			return opr, trace.BadParameter("removed: no other key may stand beside it")
		}
		return opr, rdr.err
	}
	opr.Value = rdr.value(opr.Key.Kind)
	return opr, rdr.err
}

// reader reads the keys of a section and keeps the first fault.
type reader struct {
	sec *ini.Section
	err error
}

func (rdr *reader) value(knd state.Kind) state.Value {
	switch knd {
	case state.KindAccount:
		return state.Value{Account: &state.Account{Models: rdr.list("models"), Limit: rdr.number("limit")}}
	case state.KindUpstream:
		return state.Value{Upstream: &state.Upstream{
			Drained: rdr.flag("drained"), ChecksFencing: rdr.flag("checks-fencing"),
		}}
	case state.KindStop:
		return state.Value{Stop: &state.Stop{Upstreams: rdr.list("upstreams"), At: rdr.instant("at")}}
	case state.KindModel:
		return state.Value{Model: &state.Model{
			Version: rdr.sec.Key("version").String(), Replicas: rdr.number("replicas"),
		}}
	default:
		return state.Value{Service: &state.Service{Repeatable: rdr.list("repeatable")}}
	}
}

func (rdr *reader) fail(key, reason string) {
	if rdr.err == nil {
		rdr.err = trace.BadParameter("%s: %s", key, reason)
	}
}

func (rdr *reader) flag(key string) bool {
	if !rdr.sec.HasKey(key) {
		return false
	}
	val, err := strconv.ParseBool(rdr.sec.Key(key).String())
	if err != nil {
		rdr.fail(key, "neither true nor false")
	}
	return val
}

func (rdr *reader) number(key string) int {
	if !rdr.sec.HasKey(key) {
		return 0
	}
	val, err := strconv.Atoi(rdr.sec.Key(key).String())
	if err != nil || val < 0 {
		rdr.fail(key, "not a whole number from 0")
	}
	return val
}

func (rdr *reader) instant(key string) int64 {
	val, err := time.Parse(time.RFC3339, rdr.sec.Key(key).String())
	if err != nil {
		rdr.fail(key, "not a time such as 2026-01-31T22:00:00Z")
		return 0
	}
	return val.Unix()
}

func (rdr *reader) list(key string) []string {
	var list []string
	for _, part := range strings.Split(rdr.sec.Key(key).String(), ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if slices.Contains(list, part) {
			rdr.fail(key, fmt.Sprintf("%s is named twice", part))
		}
		list = append(list, part)
	}
	return list
}
