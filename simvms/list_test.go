package simvms_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simvms"
	"github.com/tarragonwheel/tarragonwheel/timer"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

func agentVM(name string, state vmlist.State) vmlist.VM {
	return vmlist.VM{Name: name, Role: proto.RoleAgent, Address: "127.0.0.1:1", State: state}
}

// Guards against changes that become visible before the lag has passed, not at all, or twice; and against a client that
// gets single changes where it needs the whole list, because it is too far behind or the list has restarted with a
// lower revision.
func TestChangesAfterLag(t *testing.T) {
	is := is.New(t)
	svc, clock := timer.NewManual(time.Unix(0, 0))
	lst := simvms.New(svc, 2*time.Second)
	srv := httptest.NewServer(lst.Handler())
	defer srv.Close()
	cli := vmlist.New(srv.Listener.Addr().String())
	since := func(revision int64) vmlist.Changes {
		chg, err := cli.Since(context.Background(), revision, 0)
		is.NoErr(err)
		return chg
	}
	lst.Set(agentVM("a", vmlist.StateLive))
	clock.Advance(time.Second)
	is.Equal(len(since(0).VMs), 0)
	clock.Advance(time.Second)
	first := since(0)
	is.Equal(first, vmlist.Changes{Revision: 1, Complete: true, VMs: []vmlist.VM{agentVM("a", vmlist.StateLive)}})

	lst.SetLag(0)
	lst.Set(agentVM("b", vmlist.StateLive))
	lst.Set(agentVM("b", vmlist.StateRemoved))
	is.Equal(since(1), vmlist.Changes{Revision: 3, VMs: []vmlist.VM{agentVM("b", vmlist.StateRemoved)}})
	is.Equal(len(since(3).VMs), 0)
	is.True(since(99).Complete)
	lst.Forget()
	is.True(since(3).Complete)
}

// Guards against an outage that a client takes for an empty list.
func TestOutageIsAnError(t *testing.T) {
	is := is.New(t)
	lst := simvms.New(timer.New(), 0)
	srv := httptest.NewServer(lst.Handler())
	defer srv.Close()
	lst.SetDown(true)
	_, err := vmlist.New(srv.Listener.Addr().String()).Since(context.Background(), 0, 0)
	is.True(err != nil)
}
