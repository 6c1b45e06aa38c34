package entry

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Guards against a draining entry that logs that another entry drains when an agent reports its own state back to it.
func TestOnlyOtherEntriesAreLoggedAsDraining(t *testing.T) {
	is := is.New(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	sto := state.NewStore()
	cfg := &configuration{store: sto, exchange: state.NewExchange(sto, timer.New(), nil), name: "e1", log: log}
	list := []proto.PeerVersion{{Name: "e1", Draining: true}, {Name: "e2", Draining: true}}
	cfg.recordEntries(list)
	cfg.recordEntries(list)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"entry"="e2"`))
}
