package relay

import (
	"errors"
	"fmt"
)

// resumption checks that the events of an attempt are the rest of a stream of which the client already has a part, and
// not an error or another run.
type resumption struct {
	hdl     *callHandler
	active  bool  // the client has events of the stream
	lastID  int64 // of the last event that the client had when the attempt began
	started bool  // an event of the attempt has been read
}

func newResumption(hdl *callHandler) resumption {
	return resumption{hdl: hdl, active: hdl.hasLastEventID && hdl.rte.Resumable, lastID: hdl.lastEventID}
}

// check returns an error if an event must not follow what the client has.
func (rsm *resumption) check(evt *event) error {
	if evt.isComment {
		return nil
	}
	isFirst, largestStep := rsm.active && !rsm.started, rsm.hdl.largestIDStep
	rsm.started = true
	switch {
	case !evt.hasID && rsm.hdl.hasLastEventID:
		return errors.New("relay: event without an ID in a stream of events with IDs")
	case isFirst && evt.id < rsm.lastID:
		return fmt.Errorf("relay: stream begins at event %d instead of after %d", evt.id, rsm.lastID)
	case isFirst && largestStep > 0 && evt.id-rsm.lastID > largestStep:
		return fmt.Errorf("relay: events between %d and %d are missing", rsm.lastID, evt.id)
	}
	return nil
}
