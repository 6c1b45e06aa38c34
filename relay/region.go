package relay

import (
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// allowedRegions returns the regions whose replicas may get the call. They are those of the newest configuration if it
// permits the call, also for a stream that has begun with an older one, so that no attempt leaves the allowed regions.
func (hdl *callHandler) allowedRegions() rules.Regions {
	set := hdl.opts.Rules()
	if set == hdl.set || set == nil || !hdl.isPermitted(set) {
		return hdl.set.RegionsFor(hdl.rte, hdl.cal.APIKey)
	}
	return set.RegionsFor(set.Match(hdl.cal.Host, stripQuery(hdl.cal.Target)), hdl.cal.APIKey)
}

// allowedDataCentres returns the data centres whose replicas may get the call, or nil if all of them may.
func (hdl *callHandler) allowedDataCentres() fleet.DataCentres {
	reg := hdl.allowedRegions()
	if reg.All() {
		return nil
	}
	dcs := make(fleet.DataCentres)
	for dataCentre, region := range hdl.knownRegions() {
		if reg.Allow(region) {
			dcs[dataCentre] = true
		}
	}
	return dcs
}

// knownRegions returns the region of each data centre, as far as they are known.
func (hdl *callHandler) knownRegions() map[string]string {
	if hdl.opts.Regions == nil {
		return nil
	}
	return hdl.opts.Regions()
}

// noReplicaReason returns the reason why a call is refused that no replica in the allowed data centres can serve.
func (hdl *callHandler) noReplicaReason(reps *fleet.ReplicaSet, allowed fleet.DataCentres) string {
	if allowed == nil {
		return reasonNoReplica
	}
	inAllowed, all := reps.CountIn(allowed)
	if inAllowed > 0 {
		return reasonNoReplica
	}
	reg := hdl.allowedRegions()
	hdl.opts.Metrics.CountEvent("no-replica-in-region")
	hdl.opts.Log.Info("relay: no replica in an allowed region", "call", hdl.cal.ID, "service", hdl.service,
		"route", hdl.rte.Name, "account", hdl.account, "allowed-by-route", reg.Route(),
		"allowed-by-account", reg.Account(), "allowed-data-centres", len(allowed),
		"known-data-centres", len(hdl.knownRegions()), "replicas-elsewhere", all,
		"registrations-age", hdl.evidence().RegistrationsAge)
	return reasonNoReplicaInRegion
}
