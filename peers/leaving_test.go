package peers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeavingReachesPeers guards against calls that other processes send to a replica that has told this one that it
// leaves.
func TestLeavingReachesPeers(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(two.exc.AddPeer(one.addr))
	for one.exc.LiveNear() < 2 || two.exc.LiveNear() < 2 {
		time.Sleep(time.Millisecond)
	}
	rep := one.flt.ReplicaSet("s").Views()[0].Replica
	_, isNewToPeers := rep.RecordLeaving()
	iis.True(isNewToPeers)
	told := time.Now()
	one.exc.QueueLeaving(rep.LeavingNotice())
	for len(two.flt.ReplicaSet("s").Views()) > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	iis.True(time.Since(told) < time.Second) // before the next full update
}

// TestLostLeavingNoticeIsRepeated guards against a lost datagram because of which a peer never learns that a replica
// leaves.
func TestLostLeavingNoticeIsRepeated(t *testing.T) {
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	is.New(t).NoErr(two.exc.AddPeer(one.addr))
	for one.exc.LiveNear() < 2 {
		time.Sleep(time.Millisecond)
	}
	one.flt.ReplicaSet("s").Views()[0].Replica.RecordLeaving() // Not queued, as if the datagram were lost.
	for len(two.flt.ReplicaSet("s").Views()) > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
