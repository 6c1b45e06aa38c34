package peers

import (
	"testing"

	"github.com/matryer/is"
)

// TestTransferIgnoresOtherParts guards against a configuration that is put together from parts of two versions, or that
// another process sends without having been asked.
func TestTransferIgnoresOtherParts(t *testing.T) {
	iis := is.New(t)
	trf := &configTransfer{nonce: 3}
	iis.True(!trf.add(&configPart{Nonce: 4, Version: 7, Count: 1, Data: []byte("unasked")}))
	iis.True(!trf.add(&configPart{Nonce: 3, Version: 7, Index: 2, Count: 3, Data: []byte("c")}))
	for _, part := range []configPart{
		{Nonce: 4, Version: 7, Index: 0, Count: 3, Data: []byte("other nonce")},
		{Nonce: 3, Version: 8, Index: 0, Count: 3, Data: []byte("other version")},
		{Nonce: 3, Version: 7, Index: 0, Count: 4, Data: []byte("other count")},
		{Nonce: 3, Version: 7, Index: 2, Count: 3, Data: []byte("again")},
		{Nonce: 3, Version: 7, Index: 3, Count: 3, Data: []byte("beyond the end")},
		{Nonce: 3, Version: 7, Index: -1, Count: 3, Data: []byte("before the start")},
		{Nonce: 3, Version: 7, Index: 0, Count: 3},
		{Nonce: 3, Version: 7, Index: 0, Count: 3, Data: make([]byte, configPartBytes+1)},
	} {
		iis.True(!trf.add(&part))
	}
	iis.True(!trf.add(&configPart{Nonce: 3, Version: 7, Index: 0, Count: 3, Data: []byte("a")}))
	iis.True(trf.add(&configPart{Nonce: 3, Version: 7, Index: 1, Count: 3, Data: []byte("b")}))
	iis.Equal(trf.parts, [][]byte{[]byte("a"), []byte("b"), []byte("c")})
	endless := &configTransfer{nonce: 3}
	iis.True(!endless.add(&configPart{Nonce: 3, Version: 7, Count: 1 << 30, Data: []byte("a")}))
	iis.Equal(len(endless.parts), 0)
}

// TestDamagedConfigurationIsAnError guards against a record that is cut off or takes all memory when it is unpacked.
func TestDamagedConfigurationIsAnError(t *testing.T) {
	iis := is.New(t)
	packed, err := packConfig([]byte("a configuration of some length"))
	iis.NoErr(err)
	_, err = unpackConfig(packed[:len(packed)-1])
	iis.True(err != nil)
	_, err = packConfig(make([]byte, maxConfigBytes+1))
	iis.True(err != nil)
}
