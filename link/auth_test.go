package link

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// TestShortNonceIsRefused guards against a peer that chooses an empty or short nonce, which it could use again to get
// the same proof.
func TestShortNonceIsRefused(t *testing.T) {
	iis := is.New(t)
	secret, own, peer := []byte("secret"), newNonce(), proto.Peer{}
	for _, nonce := range [][]byte{nil, {1}, append(newNonce(), 1)} {
		mac, err := computeProof(secret, sideDialer, own, nonce, peer)
		iis.NoErr(err)
		iis.True(trace.IsAccessDenied(verifyProof(secret, sideDialer, own, nonce, peer, mac)))
	}
	nonce := newNonce()
	mac, err := computeProof(secret, sideDialer, own, nonce, peer)
	iis.NoErr(err)
	iis.NoErr(verifyProof(secret, sideDialer, own, nonce, peer, mac))
}
