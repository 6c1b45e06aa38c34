package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// load sends calls from several clients until it is stopped, and counts those that were not served.
type load struct {
	stopped      atomic.Bool
	clients      sync.WaitGroup
	sent, failed atomic.Int64
}

// startLoad starts clients that send one call after the other.
func (rig *rig) startLoad(t *testing.T, path string, clients int) *load {
	t.Helper()
	lod := &load{}
	for range clients {
		lod.clients.Go(func() {
			for !lod.stopped.Load() {
				lod.sent.Add(1)
				if status, _ := rig.sendForHeader(t, path); status != http.StatusOK {
					lod.failed.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return lod
}

func (lod *load) stop() {
	lod.stopped.Store(true)
	lod.clients.Wait()
}

// TestRollingReplacement guards against calls that fail, and against calls that reach replicas that have said that they
// leave, while all replicas of a service are replaced one after the other under load. The replicas say it only in their
// responses; their registrations stay as they are.
func TestRollingReplacement(t *testing.T) {
	iis := is.New(t)
	const count = 4
	type server struct {
		rep       *replica
		leaving   atomic.Bool
		toldAt    atomic.Int64 // when it first answered that it leaves, in Unix nanoseconds
		lateCalls atomic.Int64 // that arrived later than a call in flight can
	}
	startServer := func() *server {
		srv := &server{}
		srv.rep = newReplica(t, func(con net.Conn, req request) bool {
			if told := srv.toldAt.Load(); told > 0 && time.Since(time.Unix(0, told)) > 300*time.Millisecond {
				srv.lateCalls.Add(1)
			}
			if !srv.leaving.Load() {
				return respond(con, req, 200, "")
			}
			defer srv.toldAt.CompareAndSwap(0, time.Now().UnixNano())
			return respond(con, req, 200, leavingHeader)
		})
		return srv
	}
	rig := newRig(t)
	rig.opts.DrainTime = 200 * time.Millisecond
	rig.start(t)
	var old []*server
	for num := range count {
		old = append(old, startServer())
		rig.register(fmt.Sprint("old-", num), old[num].rep)
	}
	lod := rig.startLoad(t, "/unsafe/x", 8)
	for num := range count {
		rig.register(fmt.Sprint("new-", num), startServer().rep)
		time.Sleep(100 * time.Millisecond)
		old[num].leaving.Store(true)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	lod.stop()
	iis.True(lod.sent.Load() > 100)
	iis.Equal(lod.failed.Load(), int64(0))
	for _, srv := range old {
		iis.True(srv.toldAt.Load() > 0) // The test has shown something.
		iis.Equal(srv.lateCalls.Load(), int64(0))
	}
}

// shedder is a replica that asks each call for a pause while it sheds load.
type shedder struct {
	rep      *replica
	shedding atomic.Bool
	askedAt  atomic.Int64 // when it first asked, in Unix nanoseconds
	during   atomic.Int64 // calls that arrived from half a second later until the end of the pause
}

// newShedder starts a shedder whose pauses have the given length.
func newShedder(t *testing.T, pause time.Duration) *shedder {
	t.Helper()
	shd := &shedder{}
	shd.rep = newReplica(t, func(con net.Conn, req request) bool {
		asked := time.Since(time.Unix(0, shd.askedAt.Load()))
		if asked > 500*time.Millisecond && asked < pause {
			shd.during.Add(1)
		}
		if !shd.shedding.Load() {
			time.Sleep(10 * time.Millisecond)
			return respond(con, req, 200, "")
		}
		shd.askedAt.CompareAndSwap(0, time.Now().UnixNano())
		return askForPause(con, req, pause.Seconds())
	})
	return shd
}

// TestHalfOfTheReplicasShed guards against retries that are spent on replicas that have asked for a pause, and against
// calls that fail although other replicas take them. These have more calls than slots, so that the others are tempting.
func TestHalfOfTheReplicasShed(t *testing.T) {
	iis := is.New(t)
	const pause = 1500 * time.Millisecond
	rig := newRig(t)
	var list []*shedder
	for num := range 4 {
		shd := newShedder(t, pause)
		shd.shedding.Store(num < 2)
		list = append(list, shd)
		rig.register(fmt.Sprint("i-", num), shd.rep)
	}
	const clients = 24
	lod := rig.startLoad(t, "/unsafe/x", clients)
	time.Sleep(pause - 200*time.Millisecond)
	lod.stop()
	iis.True(lod.sent.Load() > 100)
	iis.Equal(lod.failed.Load(), int64(0))
	for _, shd := range list[:2] {
		iis.True(shd.askedAt.Load() > 0)
		iis.True(shd.rep.calls.Load() <= clients) // only those in flight when it first asked
		iis.Equal(shd.during.Load(), int64(0))
	}
}

// TestAllReplicasShed guards against calls that go on to replicas that have all asked for a pause, against callers that
// are held, and against a Retry-After time that is not true: when it is over, the service takes calls.
func TestAllReplicasShed(t *testing.T) {
	iis := is.New(t)
	const pause = 1500 * time.Millisecond
	rig := newRig(t)
	var list []*shedder
	for num := range 3 {
		shd := newShedder(t, pause)
		shd.shedding.Store(true)
		list = append(list, shd)
		rig.register(fmt.Sprint("i-", num), shd.rep)
	}
	status, _ := rig.sendForHeader(t, "/safe/x") // It asks all of them.
	iis.Equal(status, 503)
	for _, shd := range list {
		shd.shedding.Store(false)
		iis.Equal(shd.rep.calls.Load(), int64(1))
	}
	longest, distinct := time.Duration(0), make(map[string]bool)
	for started := time.Now(); time.Since(started) < pause/2; time.Sleep(10 * time.Millisecond) {
		sentAt := time.Now()
		status, hdr := rig.sendForHeader(t, "/safe/x")
		iis.Equal(status, 503)
		iis.True(time.Since(sentAt) < 200*time.Millisecond)
		sec, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
		iis.NoErr(err)
		wait := time.Duration(sec * float64(time.Second))
		asked := time.Unix(0, list[0].askedAt.Load())
		iis.True(sentAt.Add(wait).After(asked.Add(pause - 50*time.Millisecond))) // Capacity has returned by then.
		longest = max(longest, sentAt.Add(wait).Sub(asked))
		distinct[hdr.Get("Retry-After")] = true
	}
	iis.True(longest < pause+time.Second)
	iis.True(len(distinct) > 5) // Callers come back spread out.
	for _, shd := range list {
		iis.Equal(shd.rep.calls.Load(), int64(1))
	}
	time.Sleep(time.Until(time.Unix(0, list[0].askedAt.Load()).Add(longest)))
	status, _ = rig.sendForHeader(t, "/safe/x")
	iis.Equal(status, 200)
}

// TestAllReplicasLeave guards against calls later than the drain time at replicas that have said that they leave, and
// against a service that is lost because all say so falsely: they are used within the drain time, and again when their
// registrations have shown for many drain times that they stay.
func TestAllReplicasLeave(t *testing.T) {
	iis := is.New(t)
	const drainTime = 200 * time.Millisecond
	rep := newReplica(t, func(con net.Conn, req request) bool { return respond(con, req, 200, leavingHeader) })
	rig := newRig(t)
	rig.opts.DrainTime = drainTime
	var age atomic.Int64
	age.Store(int64(time.Hour))
	rig.opts.RegistrationsAge = func() time.Duration { return time.Duration(age.Load()) }
	rig.start(t)
	rig.register("i-0", rep)
	for range 2 { // The second one is within the drain time.
		status, _ := rig.sendForHeader(t, "/safe/x")
		iis.Equal(status, 200)
	}
	time.Sleep(drainTime)
	status, hdr := rig.sendForHeader(t, "/safe/x")
	iis.Equal(status, 503)
	iis.True(hdr.Get("Retry-After") != "")
	time.Sleep(5 * drainTime)
	status, _ = rig.sendForHeader(t, "/safe/x") // The registration may be old.
	iis.Equal(status, 503)
	iis.Equal(rep.calls.Load(), int64(2))
	age.Store(0)
	status, _ = rig.sendForHeader(t, "/safe/x")
	iis.Equal(status, 200)
}
