package peers_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/evac"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// evacProcess is a process that knows evacuated data centres, and the states that it has received.
type evacProcess struct {
	*evac.Tracker
	exc    *peers.Exchange
	addr   string
	states chan evac.State
}

func startEvacProcess(t *testing.T, addr string) *evacProcess {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	prc := &evacProcess{addr: addr, states: make(chan evac.State, 100)}
	prc.Tracker = evac.New(evac.Options{Clock: timer.New(), Log: logr.Discard(), OnChange: func(evac.Change) {}})
	exc, err := peers.Start(grp, peers.Options{
		Name: addr, Address: addr, Clock: timer.New(), Log: logr.Discard(),
		Fleet:       fleet.New(timer.New(), logr.Discard(), nil),
		Evacuations: prc.State, OnEvacuations: func(sta evac.State) { prc.states <- sta },
	})
	if err != nil {
		t.Fatal(err)
	}
	prc.exc = exc
	return prc
}

// received returns the next state that the process receives within a time, and false if none comes.
func (prc *evacProcess) received(limit time.Duration) (evac.State, bool) {
	select {
	case sta := <-prc.states:
		return sta, true
	case <-time.After(limit):
		return evac.State{}, false
	}
}

// TestEvacuationsReachPeers guards against a process without the store that learns late of an evacuation, or not of
// everything that belongs to it, and against one that never does because a datagram was lost.
func TestEvacuationsReachPeers(t *testing.T) {
	iis := is.New(t)
	one := startEvacProcess(t, freeAddress(t))
	one.List([]string{"c"}, follow.Position{Era: 1, Offset: 9})
	one.List([]string{"a", "b"}, follow.Position{Era: 2, Offset: 3})
	addr := freeAddress(t)
	two := startEvacProcess(t, addr)
	iis.NoErr(one.exc.AddPeer(addr))
	_, isBelieved := two.received(300 * time.Millisecond)
	iis.True(!isBelieved) // It does not know the sender from the store.
	iis.NoErr(two.exc.AddPeer(one.addr))
	sta, ok := two.received(5 * time.Second) // in a full update
	iis.True(ok)
	iis.Equal(sta.Position, follow.Position{Era: 2, Offset: 3})
	iis.Equal(sta.DataCentres, []string{"a", "b"})
	iis.True(len(sta.Held) == 0 || sta.Held[0].DataCentre == "c") // The grace period may be over.
	one.Record("a", false)
	one.Read(follow.Position{Era: 2, Offset: 4})
	told := time.Now()
	one.exc.QueueEvacuations()
	for sta.Position.Offset < 4 && ok {
		sta, ok = two.received(5 * time.Second)
	}
	iis.True(time.Since(told) < time.Second) // before the next full update
	iis.Equal(sta.DataCentres, []string{"b"})
}

// TestTooManyEvacuationsAreNotCut guards against data centres that return to service at a peer because their names did
// not fit into a datagram.
func TestTooManyEvacuationsAreNotCut(t *testing.T) {
	iis := is.New(t)
	addr := freeAddress(t)
	one, two := startEvacProcess(t, addr), startEvacProcess(t, freeAddress(t))
	var names []string
	for num := range 100 {
		names = append(names, fmt.Sprint("data-centre-", num))
	}
	one.List(names, follow.Position{Era: 1, Offset: 9})
	iis.NoErr(two.exc.AddPeer(addr))
	_, isSent := two.received(2500 * time.Millisecond)
	iis.True(!isSent)
}
