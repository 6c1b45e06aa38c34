package fleet

import "time"

// incarnation identifies one start of a replica of a service.
type incarnation struct {
	id, service, address string
	startedAtMs          int64
}

func incarnationOf(reg *Registration) incarnation {
	return incarnation{id: reg.ID, service: reg.Service, address: reg.Address, startedAtMs: reg.StartedAtMs}
}

// formerNotices holds the notices of replicas that are not registered any more. A registration may be lost and come
// back while the replica lives on.
type formerNotices map[incarnation]formerNotice

type formerNotice struct {
	notices   *notices
	removedAt time.Time
}

// Bounds of former notices.
const (
	formerNoticeTimeout = 10 * time.Minute
	maxFormerNotices    = 4096
)

// keep remembers the notices of a replica that is removed. Calls in flight there may still add to them.
func (fmr formerNotices) keep(inc incarnation, ntc *notices, now time.Time) {
	if len(fmr) >= maxFormerNotices {
		fmr.removeOld(now)
	}
	if len(fmr) < maxFormerNotices {
		fmr[inc] = formerNotice{notices: ntc, removedAt: now}
	}
}

// take returns the notices of an incarnation, and forgets them here. An incarnation that has not been registered before
// has none.
func (fmr formerNotices) take(inc incarnation) *notices {
	old, found := fmr[inc]
	if !found {
		return &notices{}
	}
	delete(fmr, inc)
	return old.notices
}

// removeOld forgets the notices of replicas that were removed long ago.
func (fmr formerNotices) removeOld(now time.Time) {
	for inc, old := range fmr {
		if now.Sub(old.removedAt) > formerNoticeTimeout {
			delete(fmr, inc)
		}
	}
}
