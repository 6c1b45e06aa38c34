package agent

import (
	"slices"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// maxKnownCrashes is the number of crash IDs in a report.
const maxKnownCrashes = 32

// knownCrashes returns the IDs of the newest crashes that are known here, as long as their requests can be suspected.
func (crs *crashHandler) knownCrashes() []string {
	list := crs.suspects.Crashes(maxKnownCrashes)
	now := crs.agent.clock.Now()
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if last := newest(list); last != crs.newest {
		crs.newest, crs.newestAt = last, now
	}
	if now.Sub(crs.newestAt) > crs.suspectFor {
		return nil
	}
	return list
}

// heldSuspects returns the suspected requests that the engine runs, may still run, or may have crashed under. As soon
// as a crash is known here, no further attempt at its requests runs on the engine unless its entry knows the crash too.
func (crs *crashHandler) heldSuspects() []proto.Fingerprint {
	crs.mu.Lock()
	var list []proto.Fingerprint
	for _, att := range crs.running {
		list = append(list, att.fingerprint)
	}
	if crs.probe != nil {
		for _, att := range crs.probe.attempts {
			list = append(list, att.fingerprint)
		}
	}
	crs.mu.Unlock()
	list = slices.DeleteFunc(list, func(fpr proto.Fingerprint) bool {
		status, _ := crs.status(fpr)
		return status != crash.StatusSuspected
	})
	slices.Sort(list)
	return slices.Compact(list)
}

func newest(crashes []string) string {
	if len(crashes) == 0 {
		return ""
	}
	return crashes[len(crashes)-1]
}
