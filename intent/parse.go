// Package intent parses operators' declarations of configuration objects, and plans the changes that they require.
//
// A declaration is an INI file. Each section declares the wanted state of one object, for example [upstream u1]. The
// section [end] must come last, so that a truncated file is detected. Objects that are not declared stay as they are.
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

// allowedKeys lists the keys that a section may have, by kind of object. Every kind has the key "removed" as well.
var allowedKeys = map[state.Kind][]string{
	state.KindAccount:  {"models", "limit"},
	state.KindUpstream: {"drained", "checks-fencing"},
	state.KindStop:     {"upstreams", "at"},
	state.KindModel:    {"version", "replicas"},
	state.KindService:  {"repeatable"},
}

// Parse parses the text of a declaration into one operation per section. The name of the file is used in errors only.
// If anything is invalid, Parse rejects the whole file with a trace.BadParameter error that names the file, the line or
// key, and the reason.
func Parse(file, text string) ([]state.Operation, error) {
	if err := checkStructure(file, text); err != nil {
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
		opr, err := parseSection(sec)
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

// checkStructure rejects what the INI library would merge or accept silently: repeated sections and keys, keys outside
// sections, and a file that does not end with [end].
func checkStructure(file, text string) error {
	seen := make(map[string]int)
	section := ""
	for idx, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		name, _, _ := strings.Cut(line, "=")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case section == "["+endSection+"]":
			return trace.BadParameter("intent: %s:%d: text after the section [%s]", file, idx+1, endSection)
		case line[0] == '[':
			section, name = line, line
		case section == "":
			return trace.BadParameter("intent: %s:%d: key outside a section", file, idx+1)
		default:
			name = section + " " + strings.TrimSpace(name)
		}
		if first, again := seen[name]; again {
			return trace.BadParameter("intent: %s:%d: %s repeats line %d", file, idx+1, name, first)
		}
		seen[name] = idx + 1
	}
	if section != "["+endSection+"]" {
		return trace.BadParameter("intent: %s: does not end with [%s]: the file may be cut short", file, endSection)
	}
	return nil
}

// parseSection returns the operation that a section declares.
func parseSection(sec *ini.Section) (state.Operation, error) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	allowed, ok := allowedKeys[state.Kind(kind)]
	if !ok || name == "" || strings.ContainsAny(name, " \t\"") {
		return state.Operation{}, trace.BadParameter(
			"want a kind (account, upstream, planned-stop, model, service) and a name without spaces or quotes")
	}
	opr := state.Operation{Key: state.NewKey(state.Kind(kind), name)}
	for _, key := range sec.Keys() {
		if key.Name() != "removed" && !slices.Contains(allowed, key.Name()) {
			return opr, trace.BadParameter("%s: unknown key", key.Name())
		}
	}
	rdr := &sectionReader{sec: sec}
	if removed := rdr.readBool("removed"); removed {
		if len(sec.Keys()) > 1 {
			return opr, trace.BadParameter("removed: must be the only key of its section")
		}
		return opr, rdr.err
	}
	opr.Value = rdr.readValue(opr.Key.Kind)
	return opr, rdr.err
}

// sectionReader reads the values of a section's keys, and keeps the first error.
type sectionReader struct {
	sec *ini.Section
	err error
}

// readValue returns the value of an object of the given kind.
func (rdr *sectionReader) readValue(knd state.Kind) state.Value {
	switch knd {
	case state.KindAccount:
		return state.Value{Account: &state.Account{Models: rdr.readList("models"), Limit: rdr.readCount("limit")}}
	case state.KindUpstream:
		return state.Value{Upstream: &state.Upstream{
			Drained: rdr.readBool("drained"), ChecksFencing: rdr.readBool("checks-fencing"),
		}}
	case state.KindStop:
		return state.Value{Stop: &state.Stop{Upstreams: rdr.readList("upstreams"), At: rdr.readTime("at")}}
	case state.KindModel:
		return state.Value{Model: &state.Model{
			Version: rdr.sec.Key("version").String(), Replicas: rdr.readCount("replicas"),
		}}
	default:
		return state.Value{Service: &state.Service{Retryable: rdr.readList("repeatable")}}
	}
}

func (rdr *sectionReader) setError(key, reason string) {
	if rdr.err == nil {
		rdr.err = trace.BadParameter("%s: %s", key, reason)
	}
}

// readBool returns the value of a key that is true or false. The default is false.
func (rdr *sectionReader) readBool(key string) bool {
	if !rdr.sec.HasKey(key) {
		return false
	}
	val, err := strconv.ParseBool(rdr.sec.Key(key).String())
	if err != nil {
		rdr.setError(key, "neither true nor false")
	}
	return val
}

// readCount returns the value of a key that is an integer of at least 0. The default is 0.
func (rdr *sectionReader) readCount(key string) int {
	if !rdr.sec.HasKey(key) {
		return 0
	}
	val, err := strconv.Atoi(rdr.sec.Key(key).String())
	if err != nil || val < 0 {
		rdr.setError(key, "not a whole number of at least 0")
	}
	return val
}

// readTime returns the value of a key in RFC 3339 format, in seconds since the epoch. The key is required.
func (rdr *sectionReader) readTime(key string) int64 {
	val, err := time.Parse(time.RFC3339, rdr.sec.Key(key).String())
	if err != nil {
		rdr.setError(key, "not a time such as 2026-01-31T22:00:00Z")
		return 0
	}
	return val.Unix()
}

// readList returns the items of a key whose value is a list separated by commas.
func (rdr *sectionReader) readList(key string) []string {
	var list []string
	for _, part := range strings.Split(rdr.sec.Key(key).String(), ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if slices.Contains(list, part) {
			rdr.setError(key, fmt.Sprintf("%s is named twice", part))
		}
		list = append(list, part)
	}
	return list
}
