package agent

import (
	"sync"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// demands keeps what entries tell of their accounts' demand, for the other entries.
type demands struct {
	mu      sync.Mutex
	entries map[string][]proto.AccountDemand
}

func (dmd *demands) take(entry string, list []proto.AccountDemand) {
	dmd.mu.Lock()
	defer dmd.mu.Unlock()
	if dmd.entries == nil {
		dmd.entries = make(map[string][]proto.AccountDemand)
	}
	dmd.entries[entry] = list
}

// of returns the demand of the entries that are connected, and forgets that of others.
func (dmd *demands) of(connected []proto.PeerVersion) []proto.EntryDemand {
	dmd.mu.Lock()
	defer dmd.mu.Unlock()
	var list []proto.EntryDemand
	kept := make(map[string][]proto.AccountDemand)
	for _, ent := range connected {
		if accounts := dmd.entries[ent.Name]; len(accounts) > 0 {
			kept[ent.Name] = accounts
			list = append(list, proto.EntryDemand{Entry: ent.Name, Accounts: accounts})
		}
	}
	dmd.entries = kept
	return list
}
