package once

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// MaxRecordedBody is the longest answer body, in bytes, that is kept in the log.
const MaxRecordedBody = 2 << 10

// StreamPrefix is the prefix of all stream names, which have the form once-SERVICE-SLOT.
const StreamPrefix = "once-"

// Key is a hash of a client account and its idempotency key.
type Key [16]byte

// NewKey returns the Key of an account's idempotency key. The account's length is part of the hash, so that two pairs
// with the same concatenation have different Keys.
func NewKey(account, key string) Key {
	sum := sha256.New()
	_ = binary.Write(sum, binary.BigEndian, uint32(len(account)))
	_, _ = io.WriteString(sum, account)
	_, _ = io.WriteString(sum, key)
	return Key(sum.Sum(nil)[:16])
}

// Slot returns the number of the slot to which the key belongs, from 0 to count-1.
func (key Key) Slot(count int) int {
	return int(binary.BigEndian.Uint64(key[:8]) % uint64(count))
}

// RequestHash is a hash of the request. The same key with another RequestHash is a fault of the caller.
type RequestHash [8]byte

// NewRequestHash returns the RequestHash of a request.
func NewRequestHash(method, path string, body []byte) RequestHash {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", method, path)
	_, _ = sum.Write(body)
	return RequestHash(sum.Sum(nil)[:8])
}

// Answer is the response of the service.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	Body        []byte
	Lost        bool // the body was too long to keep
}

type itemKind uint8

const (
	itemStart   itemKind = 1
	itemFinish  itemKind = 2
	itemAbandon itemKind = 3
)

// item records the start, the finish or the abandonment of one attempt. The batch's Writer and Seq identify the
// attempt.
type item struct {
	_      struct{} `cbor:",toarray"`
	Kind   itemKind
	Seq    uint64
	Key    Key
	Print  RequestHash
	Answer *Answer
}

// writer identifies a process incarnation.
type writer [8]byte

func newWriter() writer {
	var wrt writer
	_, _ = rand.Read(wrt[:]) // crypto/rand.Read never fails on supported platforms.
	return wrt
}

// batch is one record of the stream.
type batch struct {
	_      struct{} `cbor:",toarray"`
	Writer writer
	Items  []item
}

func (bat batch) encode() ([]byte, error) {
	raw, err := proto.Marshal(bat)
	if err != nil {
		return nil, fmt.Errorf("once: encode batch: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (batch, error) {
	var bat batch
	if err := proto.Unmarshal(raw, &bat); err != nil {
		return batch{}, fmt.Errorf("once: decode batch: %w", err)
	}
	return bat, nil
}
