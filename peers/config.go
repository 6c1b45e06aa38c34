package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// Limits of the transfer of a configuration to a peer that cannot read it in the store.
const (
	configPartBytes = 1100 // so that a datagram fits into one packet
	// Limits of the record of a configuration that is sent.
	maxPackedConfigBytes = 128 << 10
	maxConfigBytes       = 4 << 20
	maxConfigParts       = maxPackedConfigBytes/configPartBytes + 1
	// configSendInterval is the shortest time between two transfers to the same peer.
	configSendInterval = 200 * time.Millisecond
	// configTransferTimeout is the time after the request in which parts are accepted.
	configTransferTimeout = 2 * time.Second
)

// configRequest asks a peer for its active configuration.
type configRequest struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64   // repeated in the parts, so that only the peer that was asked can send them
	Above int64    // version that the sender has; only a newer one is sent
}

// configPart is a part of the compressed record of a configuration.
type configPart struct {
	_       struct{} `cbor:",toarray"`
	Nonce   uint64   // of the request
	Version int64
	Index   int
	Count   int // of all parts
	Data    []byte
}

// handleConfig handles what a message says of the configuration of a peer.
func (exc *Exchange) handleConfig(addr *net.UDPAddr, msg *message) {
	if exc.opts.OnConfigVersion != nil && msg.ConfigVersion != 0 {
		exc.opts.OnConfigVersion(msg.ConfigVersion)
	}
	if msg.ConfigRequest != nil {
		exc.sendConfig(addr, msg.ConfigRequest)
	}
	if msg.ConfigPart != nil {
		exc.receiveConfigPart(addr, msg.ConfigPart)
	}
}

// RequestConfig asks a live peer that has a newer configuration than the given version to send it. Only peers that were
// added by their address are asked, since anybody can send a datagram. The transfer fails if a datagram is lost; the
// caller then asks again.
func (exc *Exchange) RequestConfig(above int64) {
	exc.mu.Lock()
	var newer []*net.UDPAddr
	for _, per := range exc.peers {
		if per.registered && exc.isLive(per) && per.configVersion > above {
			newer = append(newer, per.addr)
		}
	}
	if len(newer) == 0 {
		exc.mu.Unlock()
		return
	}
	addr := newer[rand.IntN(len(newer))]
	req := &configRequest{Nonce: rand.Uint64(), Above: above}
	exc.transfer = &configTransfer{peer: addr.String(), nonce: req.Nonce, startedAt: exc.opts.Clock.Now()}
	exc.mu.Unlock()
	exc.opts.Log.Info("peers: requesting the configuration", "peer", addr.String(), "above", above)
	msg := exc.withSender(message{ConfigRequest: req})
	exc.send([]*net.UDPAddr{addr}, &msg)
}

// sendConfig sends the active configuration to a peer that has requested it.
func (exc *Exchange) sendConfig(addr *net.UDPAddr, req *configRequest) {
	if exc.opts.ConfigRecord == nil {
		return
	}
	version, record := exc.opts.ConfigRecord()
	if version <= req.Above || !exc.startTransferTo(addr) {
		return
	}
	packed, err := packConfig(record)
	if err != nil {
		exc.opts.Log.Error(err, "peers: configuration not sent", "peer", addr.String(), "version", version)
		return
	}
	exc.opts.Log.Info("peers: sending the configuration", "peer", addr.String(), "version", version,
		"bytes", len(packed))
	count := (len(packed) + configPartBytes - 1) / configPartBytes
	for idx := range count {
		data := packed[idx*configPartBytes : min((idx+1)*configPartBytes, len(packed))]
		msg := exc.withSender(message{ConfigPart: &configPart{
			Nonce: req.Nonce, Version: version, Index: idx, Count: count, Data: data,
		}})
		exc.send([]*net.UDPAddr{addr}, &msg)
	}
}

// startTransferTo reports whether the configuration may be sent to a peer now.
func (exc *Exchange) startTransferTo(addr *net.UDPAddr) bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	per, now := exc.getOrAddPeer(addr), exc.opts.Clock.Now()
	if per == nil || now.Sub(per.configSentAt) < configSendInterval {
		return false
	}
	per.configSentAt = now
	return true
}

// receiveConfigPart adds a part to the requested transfer, and hands over the configuration when it is complete.
func (exc *Exchange) receiveConfigPart(addr *net.UDPAddr, part *configPart) {
	exc.mu.Lock()
	trf := exc.transfer
	if trf == nil || trf.peer != addr.String() || exc.opts.Clock.Since(trf.startedAt) > configTransferTimeout ||
		!trf.add(part) {
		exc.mu.Unlock()
		return
	}
	exc.transfer = nil
	exc.mu.Unlock()
	record, err := unpackConfig(bytes.Join(trf.parts, nil))
	if err != nil {
		exc.opts.Log.Error(err, "peers: configuration not used", "peer", trf.peer, "version", trf.version)
		return
	}
	exc.opts.OnConfigRecord(trf.version, record)
}

// configTransfer is a configuration that a peer sends.
type configTransfer struct {
	peer      string // address
	nonce     uint64
	startedAt time.Time
	version   int64
	parts     [][]byte // nil before the first part has come; a part that is missing is nil
	missing   int      // parts
}

// add adds a part and reports whether the transfer is complete. It ignores a part that does not fit to the others.
func (trf *configTransfer) add(part *configPart) bool {
	valid := part.Count > 0 && part.Count <= maxConfigParts && part.Index >= 0 && part.Index < part.Count &&
		len(part.Data) > 0 && len(part.Data) <= configPartBytes
	if !valid || part.Nonce != trf.nonce {
		return false
	}
	if trf.parts == nil {
		trf.version, trf.missing, trf.parts = part.Version, part.Count, make([][]byte, part.Count)
	}
	if part.Version != trf.version || part.Count != len(trf.parts) || trf.parts[part.Index] != nil {
		return false
	}
	trf.parts[part.Index] = part.Data
	trf.missing--
	return trf.missing == 0
}

// packConfig compresses the record of a configuration. It returns a trace.LimitExceeded error if it is too large.
func packConfig(record []byte) ([]byte, error) {
	var buf bytes.Buffer
	wrt, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("peers: compress the configuration: %w", err)
	}
	if _, err := wrt.Write(record); err != nil {
		return nil, fmt.Errorf("peers: compress the configuration: %w", err)
	}
	if err := wrt.Close(); err != nil {
		return nil, fmt.Errorf("peers: compress the configuration: %w", err)
	}
	if buf.Len() > maxPackedConfigBytes || len(record) > maxConfigBytes {
		err := trace.LimitExceeded("%d bytes, %d compressed", len(record), buf.Len())
		return nil, fmt.Errorf("peers: compress the configuration: %w", err)
	}
	return buf.Bytes(), nil
}

// unpackConfig returns the record of a configuration. It returns a trace.BadParameter error if the record is damaged,
// and a trace.LimitExceeded error if it is too large.
func unpackConfig(packed []byte) ([]byte, error) {
	record, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("peers: decompress the configuration: %w", trace.BadParameter("%v", err))
	}
	if len(record) > maxConfigBytes {
		return nil, fmt.Errorf("peers: decompress the configuration: %w", trace.LimitExceeded("too large"))
	}
	return record, nil
}
