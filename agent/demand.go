package agent

import (
	"sync"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// demands holds the demand of the client accounts that each entry last sent. Reports pass it on to the other entries.
type demands struct {
	mu      sync.Mutex
	byEntry map[string][]proto.AccountDemand
}

func (dmd *demands) set(entry string, list []proto.AccountDemand) {
	dmd.mu.Lock()
	defer dmd.mu.Unlock()
	if dmd.byEntry == nil {
		dmd.byEntry = make(map[string][]proto.AccountDemand)
	}
	dmd.byEntry[entry] = list
}

// ofConnected returns the demand at the connected entries, and drops that of all others.
func (dmd *demands) ofConnected(connected []proto.PeerVersion) []proto.EntryDemand {
	dmd.mu.Lock()
	defer dmd.mu.Unlock()
	var list []proto.EntryDemand
	kept := make(map[string][]proto.AccountDemand)
	for _, ent := range connected {
		if accounts := dmd.byEntry[ent.Name]; len(accounts) > 0 {
			kept[ent.Name] = accounts
			list = append(list, proto.EntryDemand{Entry: ent.Name, Accounts: accounts})
		}
	}
	dmd.byEntry = kept
	return list
}
