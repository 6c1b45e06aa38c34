package peers

import (
	"net"

	"github.com/tarragonwheel/tarragonwheel/follow"
)

// maxDigestBytes bounds the records of a digest. A larger one is not sent, and the peers read the store themselves.
const maxDigestBytes = 8 << 10

// storeDigest is a follow.Digest of a topic of the store. Its era is that of the message.
type storeDigest struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	From    int64
	To      int64
	AgeMs   int64
	Records []storeRecord
}

// storeRecord is a follow.Record.
type storeRecord struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Removed bool
}

// SendDigest sends the near peers what this process has read in a topic of the store.
func (exc *Exchange) SendDigest(topic string, dig follow.Digest) {
	wire := &storeDigest{Topic: topic, From: dig.From, To: dig.To, AgeMs: dig.Age.Milliseconds()}
	size := 0
	for _, rec := range dig.Records {
		size += len(rec.Key) + len(rec.Value)
		wire.Records = append(wire.Records, storeRecord{Key: rec.Key, Value: rec.Value, Removed: rec.Value == nil})
	}
	if size > maxDigestBytes {
		return
	}
	exc.sendNear(message{Digest: wire, StoreEra: dig.Era})
}

// SendStoreAnswers tells the near peers that the store answers this process again after an outage.
func (exc *Exchange) SendStoreAnswers() {
	exc.sendNear(message{StoreAnswers: true, StoreEra: exc.storeEra()})
}

// storeEra returns the era in which the store has last answered this process, 0 if it is not known.
func (exc *Exchange) storeEra() int64 {
	if exc.opts.StoreEra == nil {
		return 0
	}
	return exc.opts.StoreEra()
}

// sendNear sends a message to the live near peers.
func (exc *Exchange) sendNear(msg message) {
	var to []*net.UDPAddr
	exc.mu.Lock()
	for _, per := range exc.peers {
		if exc.isLive(per) && exc.isNear(per) {
			to = append(to, per.addr)
		}
	}
	exc.mu.Unlock()
	msg = exc.withSender(msg)
	exc.send(to, &msg)
}

// toDigest returns the follow.Digest, whose offsets are of the given era of the store.
func (dig *storeDigest) toDigest(era int64) follow.Digest {
	out := follow.Digest{Era: era, From: dig.From, To: dig.To, Age: toDuration(dig.AgeMs)}
	for _, rec := range dig.Records {
		val := rec.Value
		if rec.Removed {
			val = nil
		} else if val == nil {
			val = []byte{} // Only a nil value stands for a removed key.
		}
		out.Records = append(out.Records, follow.Record{Key: rec.Key, Value: val})
	}
	return out
}
