package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// process is a front process with its own fleet and exchange.
type process struct {
	flt     *fleet.Fleet
	exc     *peers.Exchange
	addr    string
	group   *group.Group
	crashes chan cause.Report
	answers chan []cause.Answer
	known   atomic.Pointer[cause.Report] // crash that the process remembers
}

// freeAddress returns a UDP address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	con, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	return con.LocalAddr().String()
}

// start runs a process whose fleet has one replica of service s.
func start(t *testing.T, name, addr string) *process {
	t.Helper()
	prc := startIn(t, name, "", addr)
	prc.flt.UpdateRegistration(fleet.Registration{
		ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 1,
	})
	return prc
}

// startIn runs a process in a data centre. Its fleet is empty.
func startIn(t *testing.T, name, dataCentre, addr string) *process {
	t.Helper()
	clk := timer.New()
	prc := &process{
		flt: fleet.New(clk, logr.Discard(), nil), addr: addr, group: group.New(context.Background(), name),
		crashes: make(chan cause.Report, 10), answers: make(chan []cause.Answer, 10),
	}
	t.Cleanup(func() { _ = prc.group.Stop() })
	exc, err := peers.Start(prc.group, peers.Options{
		Name: name, DataCentre: dataCentre, Address: addr, Clock: clk, Log: logr.Discard(), Fleet: prc.flt,
		OnCrash:      func(rpt cause.Report) { prc.crashes <- rpt },
		OnAnswers:    func(list []cause.Answer) { prc.answers <- list },
		KnownCrashes: prc.knownCrashes,
	})
	if err != nil {
		t.Fatal(err)
	}
	prc.exc = exc
	return prc
}

// knownCrashes returns the crash that the process remembers, if any.
func (prc *process) knownCrashes() []cause.Report {
	if rpt := prc.known.Load(); rpt != nil {
		return []cause.Report{*rpt}
	}
	return nil
}

// waitTokens returns when the process counts want tokens of KV memory at the replica.
func (prc *process) waitTokens(t *testing.T, want int) {
	t.Helper()
	for t.Context().Err() == nil {
		if prc.flt.ReplicaSet("s").Views()[0].KVTokens == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLoadReachesPeers guards against front processes that all choose the same replica because each takes it for idle.
func TestLoadReachesPeers(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	rep := one.flt.ReplicaSet("s").Views()[0].Replica
	// The processes learn of one another after this task has started, which must reach process two as well.
	before := rep.StartTask(fleet.Task{KVTokens: 7}, one.exc.QueueTaskChange)
	iis.NoErr(two.exc.AddPeer(one.addr))
	two.waitTokens(t, 7)
	during := rep.StartTask(fleet.Task{KVTokens: 100}, one.exc.QueueTaskChange)
	two.waitTokens(t, 107)
	during.End()
	two.waitTokens(t, 7)
	before.End()
	two.waitTokens(t, 0)
	iis.Equal(two.exc.LiveProcesses(), 2)
}

// TestRestartEndsTasks guards against tasks of a killed process that still count as load after the process has started
// again.
func TestRestartEndsTasks(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(two.exc.AddPeer(one.addr))
	one.flt.ReplicaSet("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 50}, one.exc.QueueTaskChange)
	two.waitTokens(t, 50)
	_ = one.group.Stop()
	restarted := start(t, "one", one.addr)
	iis.NoErr(restarted.exc.AddPeer(two.addr))
	two.waitTokens(t, 0)
}

// TestCrashReachesPeers guards against a call that crashes further replicas through each front process, because they do
// not learn of the crashes that others have seen.
func TestCrashReachesPeers(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(one.exc.AddPeer(two.addr))
	cal := cause.Call{Fingerprint: 42, Parts: []uint64{43, 44}}
	one.exc.SendCrash(cause.Report{Replica: 7, At: time.Now(), Call: cal})
	rpt := <-two.crashes
	iis.Equal(rpt.Replica, uint64(7))
	iis.Equal(rpt.Call, cal)
	iis.True(!rpt.Advanced)
}

// TestEvidenceReachesPeersAsItIs guards against a front that refuses sound calls because it takes crashes far into
// answers for crashes at their beginning, and against one that refuses nothing because it takes answers that have only
// gone beyond their beginning for complete ones.
func TestEvidenceReachesPeersAsItIs(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(one.exc.AddPeer(two.addr))
	one.exc.SendCrash(cause.Report{Replica: 7, At: time.Now(), Call: cause.Call{Fingerprint: 42}, Advanced: true})
	rpt := <-two.crashes
	iis.Equal(rpt.Call.Fingerprint, uint64(42))
	iis.True(rpt.Advanced)
	one.exc.SendAnswers([]cause.Answer{{Feature: 1, At: time.Now()}, {Feature: 2, At: time.Now(), Complete: true}})
	complete := make(map[uint64]bool)
	for _, ans := range <-two.answers {
		complete[ans.Feature] = ans.Complete
	}
	iis.Equal(complete, map[uint64]bool{1: false, 2: true})
}

// TestRestartedPeerGetsCrashes guards against a front that has been restarted and sends a call on that all others
// refuse.
func TestRestartedPeerGetsCrashes(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	known := cause.Report{Replica: 7, At: time.Now().Add(-time.Minute), Call: cause.Call{Fingerprint: 42}}
	one.known.Store(&known)
	iis.NoErr(two.exc.AddPeer(one.addr))
	rpt := <-two.crashes
	iis.Equal(rpt.Call, known.Call)
	iis.True(time.Since(rpt.At) >= time.Minute)
}

// TestDamagedDatagramsAreDropped guards against a process that stops receiving after a datagram that is not a message.
func TestDamagedDatagramsAreDropped(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	con, err := net.Dial("udp4", two.addr)
	iis.NoErr(err)
	_, err = con.Write([]byte("\xff\x00damaged"))
	iis.NoErr(err)
	iis.NoErr(two.exc.AddPeer(one.addr))
	one.flt.ReplicaSet("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 3}, one.exc.QueueTaskChange)
	two.waitTokens(t, 3)
}
