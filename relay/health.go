package relay

// recordReplicaHealth updates the failure rate of the primary replica with the outcome, and has it checked whether the
// replica has crashed if it broke the connection.
func (att *attempt) recordReplicaHealth(out *outcome) {
	rep := att.placement.Primary.Replica
	switch {
	case out.reason == reasonUnread:
		att.hdl.opts.Metrics.CountEvent("unread-stream-cut")
		att.logBrokenAnswer(out)
	case out.reason == reasonDone, out.reason == reasonNotRun && len(att.placement.Helpers) > 0:
		rep.RecordSuccess() // A split prompt may be refused because of a helper replica, so that is no failure.
	case out.reason == reasonClientLeft, out.reason == reasonDraining, out.reason == reasonTimeLimit,
		out.reason == reasonReservationUnused, out.reason == reasonBuffersFull, out.reason == reasonOvertaken:
		// The client or this process ended the call, which says nothing about the replica but that it is late.
		if out.reason == reasonTimeLimit && !att.replyReceived {
			rep.RecordLateOrFailed(att.sent)
		}
	case out.reason == reasonStreamBroken:
		att.recordBreak(out)
	case att.con.Reused() && !att.replyReceived:
		// The connection may have been unusable before the call, which says nothing about the replica.
	default:
		if att.brokenOff {
			att.logBrokenAnswer(out)
		}
		rep.RecordFailure()
		rep.RecordLateOrFailed(att.sent)
	}
}
