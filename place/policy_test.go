package place_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// TestBaselines guards against baseline policies that use predictions, which would make comparisons with them
// meaningless.
func TestBaselines(t *testing.T) {
	iis := is.New(t)
	list := views(3)
	addDecodeStreams(&list[0], 2)
	addDecodeStreams(&list[2], 1)
	pln, ok := place.PolicyFor(place.PolicyFewestOutstanding)(longRequest(290000), engine(), list, nil)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
	iis.Equal(len(pln.Helpers), 0)
	roundRobin := place.PolicyFor(place.PolicyRoundRobin)
	calls := make(map[string]int)
	for range 6 {
		pln, ok := roundRobin(shortRequest(), engine(), append([]fleet.View(nil), list...), nil)
		iis.True(ok)
		calls[pln.Primary.ID]++
	}
	iis.Equal(calls, map[string]int{"i-0": 2, "i-1": 2, "i-2": 2})
	_, ok = roundRobin(shortRequest(), engine(), nil, nil)
	iis.True(!ok)
}
