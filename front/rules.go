package front

import (
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/platform"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// catchUpShare is the divisor of the configuration time that gives the time within which a long poll is expected to
// return a version that a peer has, and the store to answer a read after that.
const catchUpShare = 16

// configRecord is a configuration as it was in the store.
type configRecord struct {
	version int64
	value   []byte
}

// configVersion returns the version of the active configuration, 0 for none.
func (frt *Front) configVersion() int64 {
	if set := frt.rules.Load(); set != nil {
		return set.Version()
	}
	return 0
}

// activeConfigRecord returns the record of the active configuration and its version, 0 for none.
func (frt *Front) activeConfigRecord() (version int64, record []byte) {
	frt.configMu.Lock()
	defer frt.configMu.Unlock()
	return frt.configRecord.version, frt.configRecord.value
}

// catchUpWithPeer obtains the configuration if a peer has a newer version and this front's own long poll does not
// return it soon, as it does unless its connection is dead. It reads the store first. If the store does not answer this
// front, or has been restored from a copy of before that version, the front gets it from a peer.
func (frt *Front) catchUpWithPeer(version int64) {
	select {
	case <-frt.following:
	default:
		return // The front has just started, and is going to list the topic itself.
	}
	if version <= frt.configVersion() || frt.catchingUp.Swap(true) {
		return
	}
	delay := config.FrontConfigTime.Of(frt.startSettings) / catchUpShare
	frt.clock.After(delay, func() {
		active := frt.configVersion()
		if version <= active {
			frt.catchingUp.Store(false)
			return
		}
		frt.log.Info("front: a peer has a newer configuration, reading the store", "active", active,
			"version", version)
		frt.configFollower.CatchUp()
		frt.clock.After(delay, func() {
			frt.catchingUp.Store(false)
			if active := frt.configVersion(); version > active {
				frt.peers.RequestConfig(active)
			}
		})
	})
}

// applyConfigRecord applies a record of the operator in the store, if it is a configuration.
func (frt *Front) applyConfigRecord(rec follow.Record) {
	if !platform.IsConfig(rec.Key) || rec.Value == nil {
		return
	}
	spc, err := platform.ReadConfig(rec.Value)
	if err != nil {
		frt.odd.report("configuration", rec.Key, err)
		return
	}
	frt.applyConfig(spc, rec.Value, "store")
}

// applyPeerConfig applies the configuration that a peer has sent.
func (frt *Front) applyPeerConfig(version int64, record []byte) {
	spc, err := platform.ReadConfig(record)
	if err != nil {
		frt.log.Error(err, "front: cannot decode the configuration of a peer, ignoring it")
		return
	}
	if spc.Version != version {
		frt.log.Info("front: the configuration of a peer has another version than stated, ignoring it",
			"stated", version, "version", spc.Version)
		return
	}
	frt.applyConfig(spc, record, "peer")
}

// applyConfig makes a configuration the active one if its version is higher than that of the active one.
func (frt *Front) applyConfig(spc rules.Spec, record []byte, source string) {
	frt.configMu.Lock()
	defer frt.configMu.Unlock()
	if active := frt.configVersion(); active >= spc.Version && frt.rules.Load() != nil {
		if active > spc.Version {
			frt.log.Info("front: ignoring an older configuration", "active", active, "version", spc.Version,
				"source", source)
		}
		return
	}
	frt.configRecord = configRecord{version: spc.Version, value: record}
	frt.fleet.SetWarmUps(warmUps(&spc))
	frt.rules.Store(rules.New(spc))
	frt.log.Info("front: configuration in force", "version", spc.Version, "routes", len(spc.Routes),
		"services", len(spc.Services), "accounts", len(spc.Accounts), "source", source)
}

// warmUps returns what a configuration states of just started replicas, by service.
func warmUps(spc *rules.Spec) map[string]pace.WarmUp {
	list := make(map[string]pace.WarmUp)
	for idx := range spc.Services {
		if srv := &spc.Services[idx]; srv.WarmUp.Applies() {
			list[srv.Name] = srv.WarmUp
		}
	}
	return list
}
