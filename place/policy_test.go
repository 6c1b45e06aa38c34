package place_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// TestBaselines guards against baselines that place by prediction, so that comparisons with them mean nothing.
func TestBaselines(t *testing.T) {
	iis := is.New(t)
	list := views(3)
	write(&list[0], 2)
	write(&list[2], 1)
	pln, ok := place.PolicyFor(place.PolicyFewestOutstanding)(longJob(290000), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
	iis.Equal(len(pln.Helpers), 0)
	turn := place.PolicyFor(place.PolicyRoundRobin)
	seen := make(map[string]int)
	for range 6 {
		pln, ok := turn(shortJob(), engine(), append([]fleet.View(nil), list...), 0)
		iis.True(ok)
		seen[pln.Primary.ID]++
	}
	iis.Equal(seen, map[string]int{"i-0": 2, "i-1": 2, "i-2": 2})
	_, ok = turn(shortJob(), engine(), nil, 0)
	iis.True(!ok)
}
