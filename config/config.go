// Package config reads and checks the INI settings of a process.
//
// All keys are declared in this package, so that a test can check docs/SETTINGS.md against them.
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

// definition describes a key, whatever the type of its value.
type definition struct {
	section      string
	name         string
	unit         string
	defaultValue string // as written in a file; unused if the key is required
	allowed      string
	help         string
	roles        []string // roles for which the key is required
	required     bool
	parse        func(text string) (any, error)
}

func (def *definition) id() string { return def.section + "." + def.name }

// Key is a declared key whose values have type T.
type Key[T any] struct {
	def *definition
}

// Of returns the value of the key in set: that of the file, or else the default.
func (key Key[T]) Of(set *Settings) T {
	val, _ := set.values[key.def.id()].(T)
	return val
}

// Load reads the settings file of a process of the given role ("entry", "agent" or "front"). It returns a
// trace.BadParameter error that lists all invalid settings, each with file, key and reason.
func Load(file, role string) (*Settings, error) {
	raw, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, Insensitive: false}, file)
	if err != nil {
		return nil, fmt.Errorf("config: read settings: %w", trace.BadParameter("%s: %v", file, err))
	}
	return parseSettings(raw, file, role)
}

// Parse reads settings from a text, for tests and the demo. Its errors are those of Load.
func Parse(text, role string) (*Settings, error) {
	raw, err := ini.Load([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("config: read settings: %w", trace.BadParameter("%v", err))
	}
	return parseSettings(raw, "settings", role)
}

func parseSettings(raw *ini.File, file, role string) (*Settings, error) {
	set := &Settings{file: file, values: make(map[string]any)}
	errs := unknownKeyErrors(raw, file)
	for _, def := range definitions {
		val, err := parseValue(raw, def, role)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: [%s] %s: %w", file, def.section, def.name, err))
			continue
		}
		set.values[def.id()] = val
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("config: %w", trace.BadParameter("%v", errors.Join(errs...)))
	}
	return set, nil
}

// parseValue returns the value of a key or its default. It returns nil for a missing key that only other roles require.
func parseValue(raw *ini.File, def *definition, role string) (any, error) {
	text := def.defaultValue
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

func unknownKeyErrors(raw *ini.File, file string) []error {
	known := make(map[string]bool)
	for _, def := range definitions {
		known[def.id()] = true
	}
	var errs []error
	for _, sec := range raw.Sections() {
		for _, key := range sec.Keys() {
			if !known[sec.Name()+"."+key.Name()] {
				errs = append(errs, fmt.Errorf("%s: [%s] %s: unknown key", file, sec.Name(), key.Name()))
			}
		}
	}
	return errs
}
