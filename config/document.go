package config

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed preamble.md
var preamble string

const tableHeader = "| key | unit | default | range | meaning |\n| --- | --- | --- | --- | --- |\n"

// Document returns the text of docs/SETTINGS.md: for each section, a table of its keys with unit, default, allowed
// values and meaning.
func Document() string {
	var out strings.Builder
	out.WriteString(preamble)
	section := ""
	for _, def := range definitionsBySection() {
		if def.section != section {
			section = def.section
			fmt.Fprintf(&out, "\n## [%s]\n\n%s", section, tableHeader)
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n",
			def.name, def.unit, def.defaultText(), def.allowed, def.help)
	}
	return out.String()
}

func (def *definition) defaultText() string {
	switch {
	case def.required:
		return "required (" + strings.Join(def.roles, ", ") + ")"
	case def.defaultValue == "":
		return "empty"
	default:
		return "`" + def.defaultValue + "`"
	}
}

// definitionsBySection returns the definitions grouped by section. Sections and keys keep the order of declaration.
func definitionsBySection() []*definition {
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
