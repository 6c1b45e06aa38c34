package relay

import (
	"slices"

	"github.com/tarragonwheel/tarragonwheel/place"
)

// isEvacuated reports whether a replica of the attempt is in an evacuated data centre, so that the attempt must not be
// sent. It blocks while this process may have missed an evacuation.
func (att *attempt) isEvacuated() bool {
	hdl, vie := att.hdl, &att.placement.Primary
	if hdl.opts.AwaitOperatorTopic != nil {
		hdl.opts.AwaitOperatorTopic(att.ctx)
	}
	if !vie.Replica.Evacuated() {
		idx := slices.IndexFunc(att.placement.Helpers, func(hlp place.HelperPart) bool {
			return hlp.View.Replica.Evacuated()
		})
		if idx < 0 {
			return false
		}
		vie = &att.placement.Helpers[idx].View
	}
	hdl.opts.Metrics.CountEvent("attempt-evacuated")
	hdl.opts.Log.Info("relay: attempt not sent to an evacuated data centre", "call", hdl.cal.ID, "replica", vie.ID,
		"data-centre", vie.DataCentre, "primary", att.placement.Primary.ID,
		"since-placed", hdl.opts.Clock.Since(att.placedAt))
	return true
}
