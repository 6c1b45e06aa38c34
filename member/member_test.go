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

func newVM(role proto.Role, num int, state vmlist.State) vmlist.VM {
	name := fmt.Sprintf("%s-%d", role, num)
	return vmlist.VM{Name: name, Role: role, Address: fmt.Sprintf("127.0.0.1:%d", 1000+num), State: state}
}

func fullList(entries, agents int) []vmlist.VM {
	var list []vmlist.VM
	for num := range entries {
		list = append(list, newVM(proto.RoleEntry, num, vmlist.StateLive))
	}
	for num := range agents {
		list = append(list, newVM(proto.RoleAgent, num, vmlist.StateLive))
	}
	return list
}

// assignmentOf returns the assignment of entry-N from a complete list.
func assignmentOf(entry int, list []vmlist.VM) *member.Assignment {
	asg := member.NewAssignment(newVM(proto.RoleEntry, entry, "").Name, fanout)
	asg.Replace(list)
	return asg
}

func ExampleAssignment() {
	asg := member.NewAssignment("entry-1", 1)
	asg.Apply(vmlist.VM{Name: "agent-1", Role: proto.RoleAgent, Address: "10.0.0.1:80", State: vmlist.StateLive})
	fmt.Println(asg.Assigned()["agent-1"].Address)
	asg.Apply(vmlist.VM{Name: "agent-1", State: vmlist.StateRemoved})
	fmt.Println(len(asg.Assigned()))
	// Output:
	// 10.0.0.1:80
	// 0
}

// Guards against assigning an agent to too few or too many entries, before and after entries have left, and against an
// entry with far more agents than its share.
func TestEachAgentHasItsFanout(t *testing.T) {
	is := is.New(t)
	list := fullList(20, 480)
	for leaving := range 3 {
		for num := range leaving {
			list[num].State = vmlist.StateLeaving
		}
		count := make(map[string]int)
		for num := leaving; num < 20; num++ {
			assigned := assignmentOf(num, list).Assigned()
			is.True(len(assigned) < 160) // 96 on average
			for name := range assigned {
				count[name]++
			}
		}
		is.Equal(len(count), 480)
		for _, num := range count {
			is.Equal(num, fanout)
		}
	}
}

// Guards against incremental updates whose result differs from that of the whole list.
func TestIncrementalEqualsWhole(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	asg := member.NewAssignment("entry-0", fanout)
	state := make(map[string]vmlist.VM)
	states := []vmlist.State{vmlist.StateLive, vmlist.StateLive, vmlist.StateLeaving, vmlist.StateRemoved}
	roles := []proto.Role{proto.RoleEntry, proto.RoleAgent}
	for range 3000 {
		vm := newVM(roles[rnd.IntN(2)], rnd.IntN(30), states[rnd.IntN(len(states))])
		vm.Address = fmt.Sprintf("127.0.0.1:%d", 1+rnd.IntN(60000))
		asg.Apply(vm)
		state[vm.Name] = vm
		if vm.State == vmlist.StateRemoved {
			delete(state, vm.Name)
		}
		list := slices.SortedFunc(maps.Values(state), func(one, two vmlist.VM) int {
			return cmp.Compare(one.Name, two.Name)
		})
		is.Equal(asg.Assigned(), assignmentOf(0, list).Assigned())
	}
}

// Guards against reassigning more agents than necessary when one entry leaves and returns.
func TestLeavingEntryMovesOnlyItsOwnAgents(t *testing.T) {
	is := is.New(t)
	asg := assignmentOf(0, fullList(20, 480))
	before := asg.Assigned()
	asg.Apply(newVM(proto.RoleEntry, 7, vmlist.StateLeaving))
	after := asg.Assigned()
	for name := range before {
		_, kept := after[name]
		is.True(kept)
	}
	asg.Apply(newVM(proto.RoleEntry, 7, vmlist.StateLive))
	is.Equal(asg.Assigned(), before)
}

// Guards against dialling an agent at its old address after the list has changed it.
func TestAddressFollowsTheList(t *testing.T) {
	is := is.New(t)
	asg := assignmentOf(0, fullList(1, 1))
	moved := newVM(proto.RoleAgent, 0, vmlist.StateLive)
	moved.Address = "127.0.0.2:9"
	asg.Apply(moved)
	is.Equal(asg.Assigned()[moved.Name].Address, "127.0.0.2:9")
}

// Guards against redialling without a delay, and against a delay that overflows or grows without bound.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	for failures := range 200 {
		delay := member.Backoff(failures)
		is.True(delay >= 125*time.Millisecond)
		is.True(delay <= 5*time.Second)
	}
	is.True(member.Backoff(100) >= 2500*time.Millisecond)
}
