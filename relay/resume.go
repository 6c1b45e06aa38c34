package relay

import (
	"errors"
	"fmt"
)

// resumption checks that the events of an attempt are the rest of a stream of which the client already has a part, and
// not an error or another run.
type resumption struct {
	active      bool  // the client had events of the stream when the attempt began
	lastID      int64 // of the last of them
	largestStep int64 // from the ID of an event to that of the next one, as far as known; 0 for none
	hasIDs      bool  // events of the stream have IDs
	started     bool  // an event of the attempt has been read
}

func newResumption(hdl *callHandler) resumption {
	return resumption{
		active: hdl.hasLastEventID && hdl.rte.Resumable, lastID: hdl.lastEventID, largestStep: hdl.largestIDStep,
		hasIDs: hdl.hasLastEventID,
	}
}

// check returns an error if an event must not follow what the client has.
func (rsm *resumption) check(evt *event) error {
	if evt.isComment {
		return nil
	}
	isFirst, hadIDs := rsm.active && !rsm.started, rsm.hasIDs
	rsm.started, rsm.hasIDs = true, hadIDs || evt.hasID
	switch {
	case !evt.hasID && hadIDs:
		return errors.New("relay: event without an ID in a stream of events with IDs")
	case isFirst && evt.id < rsm.lastID:
		return fmt.Errorf("relay: stream begins at event %d instead of after %d", evt.id, rsm.lastID)
	case isFirst && rsm.largestStep > 0 && evt.id-rsm.lastID > rsm.largestStep:
		return fmt.Errorf("relay: events between %d and %d are missing", rsm.lastID, evt.id)
	}
	return nil
}
