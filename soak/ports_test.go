package soak

import (
	"testing"

	"github.com/matryer/is"
)

// TestPortsArePickedOnce guards against two fronts of one soak that are given the same port, so that one of them cannot
// start.
func TestPortsArePickedOnce(t *testing.T) {
	iis := is.New(t)
	prt := newPorts()
	seen := make(map[string]bool)
	for range 2000 {
		addr, err := prt.next()
		iis.NoErr(err)
		iis.True(!seen[addr])
		seen[addr] = true
	}
}
