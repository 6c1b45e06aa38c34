package member_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/member"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

const fanout = 4

func machine(role proto.Role, num int, state vmlist.State) vmlist.VM {
	name := fmt.Sprintf("%s-%d", role, num)
	return vmlist.VM{Name: name, Role: role, Address: fmt.Sprintf("127.0.0.1:%d", 1000+num), State: state}
}

func fullList(entries, agents int) []vmlist.VM {
	var list []vmlist.VM
	for num := range entries {
		list = append(list, machine(proto.RoleEntry, num, vmlist.StateLive))
	}
	for num := range agents {
		list = append(list, machine(proto.RoleAgent, num, vmlist.StateLive))
	}
	return list
}

func rankOf(entry int, list []vmlist.VM) *member.Ranks {
	rks := member.NewRanks(machine(proto.RoleEntry, entry, "").Name, fanout)
	rks.Replace(list)
	return rks
}

func ExampleRanks() {
	rks := member.NewRanks("entry-1", 1)
	rks.Apply(vmlist.VM{Name: "agent-1", Role: proto.RoleAgent, Address: "10.0.0.1:80", State: vmlist.StateLive})
	fmt.Println(rks.Wanted()["agent-1"].Address)
	rks.Apply(vmlist.VM{Name: "agent-1", State: vmlist.StateGone})
	fmt.Println(len(rks.Wanted()))
	// Output:
	// 10.0.0.1:80
	// 0
}

// Guards against an agent with too few or too many entries, before and after an entry has left, and against an entry
// with far more than its share.
func TestEachAgentHasItsFanout(t *testing.T) {
	is := is.New(t)
	list := fullList(20, 480)
	for leaving := range 3 {
		for num := range leaving {
			list[num].State = vmlist.StateLeaving
		}
		count := make(map[string]int)
		for num := leaving; num < 20; num++ {
			wanted := rankOf(num, list).Wanted()
			is.True(len(wanted) < 160) // 96 on average
			for name := range wanted {
				count[name]++
			}
		}
		is.Equal(len(count), 480)
		for _, num := range count {
			is.Equal(num, fanout)
		}
	}
}

// Guards against incremental updates that drift from what the whole list gives.
func TestIncrementalEqualsWhole(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	rks := member.NewRanks("entry-0", fanout)
	state := make(map[string]vmlist.VM)
	states := []vmlist.State{vmlist.StateLive, vmlist.StateLive, vmlist.StateLeaving, vmlist.StateGone}
	roles := []proto.Role{proto.RoleEntry, proto.RoleAgent}
	for range 3000 {
		mac := machine(roles[rnd.IntN(2)], rnd.IntN(30), states[rnd.IntN(len(states))])
		mac.Address = fmt.Sprintf("127.0.0.1:%d", 1+rnd.IntN(60000))
		rks.Apply(mac)
		state[mac.Name] = mac
		if mac.State == vmlist.StateGone {
			delete(state, mac.Name)
		}
		list := slices.SortedFunc(maps.Values(state), func(one, two vmlist.VM) int {
			return cmp.Compare(one.Name, two.Name)
		})
		is.Equal(rks.Wanted(), rankOf(0, list).Wanted())
	}
}

// Guards against a selection that moves more connections than the change of one entry requires.
func TestOneEntryMovesOnlyItsOwnAgents(t *testing.T) {
	is := is.New(t)
	rks := rankOf(0, fullList(20, 480))
	before := rks.Wanted()
	rks.Apply(machine(proto.RoleEntry, 7, vmlist.StateLeaving))
	after := rks.Wanted()
	for name := range before {
		_, kept := after[name]
		is.True(kept)
	}
	rks.Apply(machine(proto.RoleEntry, 7, vmlist.StateLive))
	is.Equal(rks.Wanted(), before)
}

// Guards against an agent that is still dialled at its former address.
func TestAddressFollowsTheList(t *testing.T) {
	is := is.New(t)
	rks := rankOf(0, fullList(1, 1))
	moved := machine(proto.RoleAgent, 0, vmlist.StateLive)
	moved.Address = "127.0.0.2:9"
	rks.Apply(moved)
	is.Equal(rks.Wanted()[moved.Name].Address, "127.0.0.2:9")
}

// Guards against a storm of dials, and against a delay that overflows or grows without bound.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	for failures := range 200 {
		delay := member.Backoff(failures)
		is.True(delay >= 125*time.Millisecond)
		is.True(delay <= 5*time.Second)
	}
	is.True(member.Backoff(100) >= 2500*time.Millisecond)
}
