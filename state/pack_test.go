package state

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// Guards against a damaged snapshot that is adopted, and against a forged one that exhausts the memory when it is
// decompressed.
func TestUnpackRejectsInvalidSnapshots(t *testing.T) {
	is := is.New(t)
	whole, err := pack(make([]byte, 1000))
	is.NoErr(err)
	huge, err := pack(make([]byte, maxUnpacked+1))
	is.NoErr(err)
	for _, packed := range [][]byte{nil, []byte("text"), whole[:len(whole)-3], huge} {
		_, err := unpack(packed)
		is.True(trace.IsBadParameter(err))
	}
}
