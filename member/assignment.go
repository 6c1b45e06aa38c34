// Package member selects the agents that an entry connects to, and maintains the connections to them.
//
// The selection is rendezvous hashing over the platform's list of VMs: each agent is assigned to the entries with the
// highest scores for it. Each entry computes its own agents from the list, without coordination between processes.
package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

// Assignment tracks which live agents are assigned to this entry. For each agent it counts the live entries with a
// higher score than this one, so that a change of an agent costs one hash per entry, and a change of an entry one hash
// per agent. It is not safe for concurrent use.
type Assignment struct {
	self    string
	fanout  int
	entries map[string]struct{} // live entries other than this one
	agents  map[string]*scoredAgent
}

// scoredAgent is a live agent with the scores that decide its assignment.
type scoredAgent struct {
	vm            vmlist.VM
	ownScore      uint64 // score of this entry for the agent
	higherEntries int    // number of live entries with a higher score
}

// NewAssignment returns the Assignment of the entry with the name self, without agents yet. Each agent is assigned to
// fanout entries.
func NewAssignment(self string, fanout int) *Assignment {
	return &Assignment{
		self: self, fanout: fanout, entries: make(map[string]struct{}), agents: make(map[string]*scoredAgent),
	}
}

// score returns the rendezvous hash of an entry and an agent. It depends on names alone, so that a VM that is replaced
// under the same name keeps its assignments.
func score(entry, agent string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + agent)
}

// outscores tells whether an entry has a higher score for an agent than this entry. Names break ties.
func (asg *Assignment) outscores(entry string, agt *scoredAgent) bool {
	got := score(entry, agt.vm.Name)
	return got > agt.ownScore || got == agt.ownScore && entry > asg.self
}

// Apply applies a change of one VM. A leaving VM counts as removed, so that other entries take over before it is gone.
func (asg *Assignment) Apply(vm vmlist.VM) {
	if vm.State != vmlist.StateLive {
		// The list may name a gone VM without its role.
		asg.removeEntry(vm.Name)
		delete(asg.agents, vm.Name)
		return
	}
	if vm.Role == proto.RoleAgent {
		asg.removeEntry(vm.Name)
		asg.addAgent(vm)
		return
	}
	delete(asg.agents, vm.Name)
	asg.addEntry(vm.Name)
}

func (asg *Assignment) addAgent(vm vmlist.VM) {
	if agt, ok := asg.agents[vm.Name]; ok {
		agt.vm = vm
		return
	}
	agt := &scoredAgent{vm: vm, ownScore: score(asg.self, vm.Name)}
	for name := range asg.entries {
		if asg.outscores(name, agt) {
			agt.higherEntries++
		}
	}
	asg.agents[vm.Name] = agt
}

// addEntry ignores this entry itself, which is live for as long as it runs, whatever the list says.
func (asg *Assignment) addEntry(name string) {
	if _, ok := asg.entries[name]; ok || name == asg.self {
		return
	}
	asg.entries[name] = struct{}{}
	for _, agt := range asg.agents {
		if asg.outscores(name, agt) {
			agt.higherEntries++
		}
	}
}

func (asg *Assignment) removeEntry(name string) {
	if _, ok := asg.entries[name]; !ok {
		return
	}
	delete(asg.entries, name)
	for _, agt := range asg.agents {
		if asg.outscores(name, agt) {
			agt.higherEntries--
		}
	}
}

// Replace applies a complete list: VMs that it does not contain are removed.
func (asg *Assignment) Replace(list []vmlist.VM) {
	present := make(map[string]bool, len(list))
	for _, vm := range list {
		present[vm.Name] = true
	}
	for name := range asg.entries {
		if !present[name] {
			asg.removeEntry(name)
		}
	}
	for name := range asg.agents {
		if !present[name] {
			delete(asg.agents, name)
		}
	}
	for _, vm := range list {
		asg.Apply(vm)
	}
}

// Assigned returns the agents that are assigned to this entry, by name.
func (asg *Assignment) Assigned() map[string]vmlist.VM {
	assigned := make(map[string]vmlist.VM)
	for name, agt := range asg.agents {
		if agt.higherEntries < asg.fanout {
			assigned[name] = agt.vm
		}
	}
	return assigned
}
