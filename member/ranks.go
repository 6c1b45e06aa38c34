// Package member selects which agents an entry connects to, and keeps those connections.
//
// The selection is rendezvous hashing over the platform's list of VMs: each entry computes for itself whether it is
// among the highest-ranked entries of an agent. No process asks another one.
package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

// Ranks holds, for each live agent, how many live entries outrank this one. A change of an agent costs one hash per
// entry, a change of an entry one hash per agent. It is not safe for concurrent use.
type Ranks struct {
	self    string
	fanout  int
	entries map[string]struct{} // live ones, without this one
	agents  map[string]*ranked
}

type ranked struct {
	vm    vmlist.VM
	own   uint64 // score of this entry
	ahead int    // entries with a higher score
}

// NewRanks returns the Ranks of the entry with the given name. Each agent is assigned to fanout entries.
func NewRanks(self string, fanout int) *Ranks {
	return &Ranks{
		self: self, fanout: fanout, entries: make(map[string]struct{}), agents: make(map[string]*ranked),
	}
}

// score depends on names alone, so that a VM that comes back under its name keeps its connections.
func score(entry, agent string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + agent)
}

func (rks *Ranks) outranks(entry string, rkd *ranked) bool {
	got := score(entry, rkd.vm.Name)
	return got > rkd.own || got == rkd.own && entry > rks.self
}

// Apply adds a change of the list. A VM that is leaving no longer counts, so that others take over before it is gone.
func (rks *Ranks) Apply(mac vmlist.VM) {
	if mac.State != vmlist.StateLive {
		// A gone VM may be listed without its role.
		rks.removeEntry(mac.Name)
		delete(rks.agents, mac.Name)
		return
	}
	if mac.Role == proto.RoleAgent {
		rks.removeEntry(mac.Name)
		rks.addAgent(mac)
		return
	}
	delete(rks.agents, mac.Name)
	rks.addEntry(mac.Name)
}

func (rks *Ranks) addAgent(mac vmlist.VM) {
	if rkd, known := rks.agents[mac.Name]; known {
		rkd.vm = mac
		return
	}
	rkd := &ranked{vm: mac, own: score(rks.self, mac.Name)}
	for name := range rks.entries {
		if rks.outranks(name, rkd) {
			rkd.ahead++
		}
	}
	rks.agents[mac.Name] = rkd
}

// addEntry ignores this entry itself, which counts as live for as long as it runs, whatever the list says.
func (rks *Ranks) addEntry(name string) {
	if _, known := rks.entries[name]; known || name == rks.self {
		return
	}
	rks.entries[name] = struct{}{}
	for _, rkd := range rks.agents {
		if rks.outranks(name, rkd) {
			rkd.ahead++
		}
	}
}

func (rks *Ranks) removeEntry(name string) {
	if _, known := rks.entries[name]; !known {
		return
	}
	delete(rks.entries, name)
	for _, rkd := range rks.agents {
		if rks.outranks(name, rkd) {
			rkd.ahead--
		}
	}
}

// Replace applies a complete list: VMs that it does not contain are gone.
func (rks *Ranks) Replace(list []vmlist.VM) {
	present := make(map[string]bool, len(list))
	for _, mac := range list {
		present[mac.Name] = true
	}
	for name := range rks.entries {
		if !present[name] {
			rks.removeEntry(name)
		}
	}
	for name := range rks.agents {
		if !present[name] {
			delete(rks.agents, name)
		}
	}
	for _, mac := range list {
		rks.Apply(mac)
	}
}

// Wanted returns the agents that this entry connects to, by name.
func (rks *Ranks) Wanted() map[string]vmlist.VM {
	wanted := make(map[string]vmlist.VM)
	for name, rkd := range rks.agents {
		if rkd.ahead < rks.fanout {
			wanted[name] = rkd.vm
		}
	}
	return wanted
}
