// Package proto defines the messages that entries and agents exchange.
//
// Each WebSocket message is one Frame in CBOR. Messages carry durations rather than absolute times, because the clocks
// of VMs differ.
package proto

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Version is the version of the protocol. A frame of any other version is refused.
const Version = 1

// Kind tells which message a frame carries.
type Kind uint8

// Kinds of frames. Their numbers are part of the protocol and are never reused.
const (
	KindChallenge Kind = 1
	KindHello     Kind = 2
	KindWelcome   Kind = 3
	KindOpen      Kind = 4
	KindAccept    Kind = 5
	KindHead      Kind = 6
	KindData      Kind = 7
	KindCredit    Kind = 8
	KindEnd       Kind = 9
	KindCancel    Kind = 10
	KindResult    Kind = 11
	KindReport    Kind = 12
	KindBeat      Kind = 13
	KindState     Kind = 14
	KindBegin     Kind = 20
	KindHeld      Kind = 21
)

var kindNames = map[Kind]string{
	KindChallenge: "challenge", KindHello: "hello", KindWelcome: "welcome", KindOpen: "open", KindAccept: "accept",
	KindHead: "head", KindData: "data", KindCredit: "credit", KindEnd: "end", KindCancel: "cancel",
	KindResult: "result", KindReport: "report", KindBeat: "beat", KindState: "state",
	KindBegin: "begin", KindHeld: "held",
}

// String returns the kind's name in kebab case.
func (knd Kind) String() string {
	if name, ok := kindNames[knd]; ok {
		return name
	}
	return fmt.Sprintf("kind-%d", uint8(knd))
}

// Frame is the envelope of every message. Stream 0 is the connection itself.
type Frame struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    Kind
	Stream  uint64
	Payload cbor.RawMessage
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// maxItems bounds arrays and maps in a message, so that a forged length cannot exhaust memory.
const maxItems = 1 << 17

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("proto: encoder options: %v", err))
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("proto: decoder options: %v", err))
	}
	return mode
}

// outgoing has the encoding of a Frame. Its payload is encoded in place, which saves a copy of each body.
type outgoing struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    Kind
	Stream  uint64
	Payload any
}

// Encode returns the bytes of a frame that carries msg.
func Encode(knd Kind, stream uint64, msg any) ([]byte, error) {
	raw, err := encMode.Marshal(outgoing{Version: Version, Kind: knd, Stream: stream, Payload: msg})
	if err != nil {
		return nil, fmt.Errorf("proto: encode %s: %w", knd, err)
	}
	return raw, nil
}

// Decode parses a frame. It returns a trace.BadParameter error for bytes that are not a frame, and a
// trace.NotImplemented error for a frame of another version.
func Decode(raw []byte) (Frame, error) {
	var frm Frame
	if err := decMode.Unmarshal(raw, &frm); err != nil {
		return Frame{}, fmt.Errorf("proto: decode frame: %w", trace.BadParameter("malformed frame: %v", err))
	}
	if frm.Version != Version {
		return Frame{}, fmt.Errorf("proto: decode frame: %w",
			trace.NotImplemented("protocol version %d, want %d", frm.Version, Version))
	}
	return frm, nil
}

// Parse decodes the payload of a frame into a message of type T.
func Parse[T any](frm Frame) (T, error) {
	var msg T
	if err := decMode.Unmarshal(frm.Payload, &msg); err != nil {
		return msg, fmt.Errorf("proto: decode %s: %w", frm.Kind, trace.BadParameter("malformed payload: %v", err))
	}
	return msg, nil
}

// Byte strings in CBOR start with one byte of type and length, which is followed by the length if that does not fit.
const (
	byteString     = 0x40 // major type 2 in the upper three bits
	byteStringMask = 0xe0
	lengthMask     = 0x1f
	lengthOneByte  = 24
	lengthTwoBytes = 25
	lengthFour     = 26
)

func errNoBytes() error { return trace.BadParameter("proto: a data frame carries no byte string") }

// Bytes returns the content of a data frame without copying it. It returns a trace.BadParameter error for a payload
// that is not a byte string of definite length.
func (frm Frame) Bytes() ([]byte, error) {
	raw := frm.Payload
	if len(raw) == 0 || raw[0]&byteStringMask != byteString {
		return nil, errNoBytes()
	}
	head, size := 1, uint64(raw[0]&lengthMask)
	switch {
	case size == lengthOneByte && len(raw) >= 2:
		head, size = 2, uint64(raw[1])
	case size == lengthTwoBytes && len(raw) >= 3:
		head, size = 3, uint64(binary.BigEndian.Uint16(raw[1:]))
	case size == lengthFour && len(raw) >= 5:
		head, size = 5, uint64(binary.BigEndian.Uint32(raw[1:]))
	case size >= lengthOneByte:
		return nil, errNoBytes()
	}
	if uint64(len(raw)-head) != size {
		return nil, errNoBytes()
	}
	return raw[head:], nil
}

// Marshal encodes a value that is stored or hashed outside a frame, in the same deterministic CBOR.
func Marshal(val any) ([]byte, error) {
	raw, err := encMode.Marshal(val)
	if err != nil {
		return nil, fmt.Errorf("proto: encode value: %w", err)
	}
	return raw, nil
}

// Unmarshal decodes what Marshal has encoded.
func Unmarshal(raw []byte, val any) error {
	if err := decMode.Unmarshal(raw, val); err != nil {
		return fmt.Errorf("proto: decode value: %w", trace.BadParameter("malformed value: %v", err))
	}
	return nil
}
