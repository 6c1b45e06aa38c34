package config

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed preamble.md
var preamble string

const tableHead = "| key | unit | default | range | meaning |\n| --- | --- | --- | --- | --- |\n"

// Document returns docs/SETTINGS.md: a table of all keys for each section, with unit, default and range.
func Document() string {
	var out strings.Builder
	out.WriteString(preamble)
	section := ""
	for _, def := range ordered() {
		if def.section != section {
			section = def.section
			fmt.Fprintf(&out, "\n## [%s]\n\n%s", section, tableHead)
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", def.name, def.unit, def.defaultText(), def.limits, def.help)
	}
	return out.String()
}

func (def *definition) defaultText() string {
	switch {
	case def.required:
		return "required (" + strings.Join(def.roles, ", ") + ")"
	case def.fallback == "":
		return "empty"
	default:
		return "`" + def.fallback + "`"
	}
}

// ordered returns the definitions by section, in the order in which sections and keys were declared.
func ordered() []*definition {
	var sections []string
	grouped := make(map[string][]*definition)
	for _, def := range definitions {
		if grouped[def.section] == nil {
			sections = append(sections, def.section)
		}
		grouped[def.section] = append(grouped[def.section], def)
	}
	var all []*definition
	for _, name := range sections {
		all = append(all, grouped[name]...)
	}
	return all
}
