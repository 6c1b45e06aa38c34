// Package config reads and checks the INI settings of a process.
//
// All keys are declared in this package, so that docs/SETTINGS.md can be checked against them.
package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Settings are the checked settings of one process.
type Settings struct {
	file   string
	values map[string]any // by section.key
}

// definition is a key of any type.
type definition struct {
	section  string
	name     string
	unit     string
	fallback string // default as written in a file; unused if required
	limits   string
	help     string
	roles    []string // roles that need the key, if required
	required bool
	parse    func(text string) (any, error)
}

func (def *definition) id() string { return def.section + "." + def.name }

// Key is a declared setting with values of type T.
type Key[T any] struct {
	def *definition
}

// Of returns the key's value in set, or its default.
func (key Key[T]) Of(set *Settings) T {
	val, _ := set.values[key.def.id()].(T)
	return val
}

// Load reads the file for a process of the given role ("entry" or "agent"). It returns a trace.BadParameter error that
// names file, key and reason of each fault.
func Load(file, role string) (*Settings, error) {
	raw, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, Insensitive: false}, file)
	if err != nil {
		return nil, fmt.Errorf("config: read settings: %w", trace.BadParameter("%s: %v", file, err))
	}
	return check(raw, file, role)
}

// Parse checks settings given as text, for tests and the demo.
func Parse(text, role string) (*Settings, error) {
	raw, err := ini.Load([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("config: read settings: %w", trace.BadParameter("%v", err))
	}
	return check(raw, "settings", role)
}

func check(raw *ini.File, file, role string) (*Settings, error) {
	set := &Settings{file: file, values: make(map[string]any)}
	faults := unknownKeys(raw, file)
	for _, def := range definitions {
		val, err := value(raw, def, role)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: [%s] %s: %w", file, def.section, def.name, err))
			continue
		}
		set.values[def.id()] = val
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("config: %w", trace.BadParameter("%v", errors.Join(faults...)))
	}
	return set, nil
}

func value(raw *ini.File, def *definition, role string) (any, error) {
	text := def.fallback
	if raw.Section(def.section).HasKey(def.name) {
		text = strings.TrimSpace(raw.Section(def.section).Key(def.name).String())
	} else if def.required {
		if !slices.Contains(def.roles, role) {
			return nil, nil
		}
		return nil, trace.BadParameter("missing, and there is no default")
	}
	return def.parse(text)
}

func unknownKeys(raw *ini.File, file string) []error {
	known := make(map[string]bool)
	for _, def := range definitions {
		known[def.id()] = true
	}
	var faults []error
	for _, sec := range raw.Sections() {
		for _, key := range sec.Keys() {
			if !known[sec.Name()+"."+key.Name()] {
				faults = append(faults, fmt.Errorf("%s: [%s] %s: unknown key", file, sec.Name(), key.Name()))
			}
		}
	}
	return faults
}
