package peers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// waitFronts returns when the process counts want fronts that share limits.
func (prc *process) waitFronts(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if prc.exc.Fronts().Size() == want {
			return
		}
	}
	t.Fatalf("%d fronts share limits instead of %d", prc.exc.Fronts().Size(), want)
}

// TestFrontsThatShareLimits guards against a front that takes the shares of others before it has heard of them or when
// it has lost them, and against the share of a front that has stopped and that nobody takes.
func TestFrontsThatShareLimits(t *testing.T) {
	iis := is.New(t)
	addrs := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	var all []*process
	for idx, addr := range addrs {
		all = append(all, start(t, string(rune('a'+idx)), addr))
	}
	iis.Equal(all[0].exc.Fronts().Size(), 512) // Nothing is known yet.
	for _, prc := range all {
		for _, addr := range addrs {
			iis.NoErr(prc.exc.AddPeer(addr))
		}
		prc.exc.SetFrontsListed()
	}
	for _, prc := range all {
		prc.waitFronts(t, 3)
	}
	all[1].exc.SendStopped()
	iis.NoErr(all[1].group.Stop())
	all[0].waitFronts(t, 2)
	iis.NoErr(all[2].group.Stop()) // It says nothing, as one that is cut off.
	time.Sleep(7 * time.Second)
	iis.Equal(all[0].exc.LiveProcesses(), 1)
	iis.Equal(all[0].exc.Fronts().Size(), 2)
	iis.NoErr(start(t, "c", freeAddress(t)).exc.AddPeer(all[0].addr))
	all[0].waitFronts(t, 2) // It replaces the one of its name.
}

// TestColdNotice guards against a front that sends a cold replica all calls until its registration says so.
func TestColdNotice(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(one.exc.AddPeer(two.addr))
	for _, prc := range []*process{one, two} {
		prc.flt.SetWarmUps(map[string]pace.WarmUp{"s": {Time: time.Second, PerSecond: 4}})
	}
	time.Sleep(100 * time.Millisecond) // The processes have greeted each other.
	rep := one.flt.ReplicaSet("s").Views()[0].Replica
	iis.True(rep.RecordCold(30 * time.Second))
	one.exc.QueueCold(rep.ColdNotice(30 * time.Second))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if list := two.flt.ReplicaSet("s").Views(); list[0].SlowStart {
			return
		}
	}
	t.Fatal("the peer does not know that the replica is cold")
}
