package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/config"
)

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#Zones\}\}(.*?)\{\{/Zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{[A-Za-z0-9.]+\}\}`)
)

// render renders the template of a front as the platform does, for data centres in region north.
func render(t *testing.T, dataCentres ...string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "deploy", "front.ini"))
	if err != nil {
		t.Fatal(err)
	}
	section := zonesSection.FindSubmatch(text)
	if section == nil {
		t.Fatal("the template has no section for Zones")
	}
	var zones strings.Builder
	for idx, name := range dataCentres {
		comma := ","
		if idx == len(dataCentres)-1 {
			comma = ""
		}
		entry := strings.NewReplacer("{{@}}", name, "{{.}}", "north", "{{,}}", comma)
		zones.WriteString(entry.Replace(string(section[1])))
	}
	return placeholder.ReplaceAllStringFunc(strings.Replace(string(text), string(section[0]), zones.String(), 1),
		func(field string) string {
			switch strings.Trim(field, "{}") {
			case "Platform.Address", "ListenAddrs.Front", "ListenAddrs.Ready":
				return "127.0.0.1:8001"
			case "Ip":
				return "127.0.0.1"
			case "Bounds.GraceS", "Bounds.BudgetWindowS":
				return "10"
			case "Bounds.RetryBudgetRatio":
				return "0.2"
			default:
				return "2000"
			}
		})
}

// TestTemplateOfTheDeployment guards against a template that renders settings with which no front starts, whether the
// deployment has regions or not.
func TestTemplateOfTheDeployment(t *testing.T) {
	for _, dataCentres := range [][]string{nil, {"guj-west-a"}, {"guj-west-a", "guj-west-b", "guj-west-c"}} {
		iis := is.New(t)
		set, err := config.Parse(render(t, dataCentres...), "front")
		iis.NoErr(err)
		iis.Equal(len(config.FrontRegions.Of(set)), len(dataCentres))
		for _, name := range dataCentres {
			iis.Equal(config.FrontRegions.Of(set)[name], "north")
		}
	}
}
