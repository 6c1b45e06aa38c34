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

// Version is the version of the protocol. A frame of any other version is rejected.
const Version = 1

// Kind is the type of the message that a frame carries.
type Kind uint8

// Kinds of frames. Their numbers are part of the protocol and are never reused.
const (
	KindChallenge    Kind = 1
	KindHello        Kind = 2
	KindWelcome      Kind = 3
	KindOpen         Kind = 4
	KindAccept       Kind = 5
	KindHead         Kind = 6
	KindData         Kind = 7
	KindCredit       Kind = 8
	KindEnd          Kind = 9
	KindCancel       Kind = 10
	KindResult       Kind = 11
	KindReport       Kind = 12
	KindHeartbeat    Kind = 13
	KindState        Kind = 14
	KindBegin        Kind = 20
	KindSegmentReady Kind = 21
)

var kindNames = map[Kind]string{
	KindChallenge: "challenge", KindHello: "hello", KindWelcome: "welcome", KindOpen: "open", KindAccept: "accept",
	KindHead: "head", KindData: "data", KindCredit: "credit", KindEnd: "end", KindCancel: "cancel",
	KindResult: "result", KindReport: "report", KindHeartbeat: "beat", KindState: "state",
	KindBegin: "begin", KindSegmentReady: "held",
}

// String returns the kind's name in kebab case.
func (knd Kind) String() string {
	if name, ok := kindNames[knd]; ok {
		return name
	}
	return fmt.Sprintf("kind-%d", uint8(knd))
}

// Frame is the envelope of every message. Stream 0 carries the messages that concern the connection itself.
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

// maxItems bounds the elements of an array and the pairs of a map in a message, so that a forged length cannot exhaust
// the memory.
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

// outgoingFrame is encoded like a Frame. Its payload is any message and is encoded in place, which saves a copy of each
// body.
type outgoingFrame struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    Kind
	Stream  uint64
	Payload any
}

// Encode returns the bytes of a frame that carries msg.
func Encode(knd Kind, stream uint64, msg any) ([]byte, error) {
	raw, err := encMode.Marshal(outgoingFrame{Version: Version, Kind: knd, Stream: stream, Payload: msg})
	if err != nil {
		return nil, fmt.Errorf("proto: encode %s: %w", knd, err)
	}
	return raw, nil
}

// Decode parses a frame. It returns a trace.BadParameter error for bytes that are not a frame, and a
// trace.NotImplemented error for a frame of another protocol version.
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

// Parse decodes the payload of a frame into a message of type T. It returns a trace.BadParameter error for a payload
// that is not such a message.
func Parse[T any](frm Frame) (T, error) {
	var msg T
	if err := decMode.Unmarshal(frm.Payload, &msg); err != nil {
		return msg, fmt.Errorf("proto: decode %s: %w", frm.Kind, trace.BadParameter("malformed payload: %v", err))
	}
	return msg, nil
}

// The head of a CBOR byte string: the first byte has the major type in the upper three bits. The lower five bits are
// the length, or the code for the number of bytes that follow with the length.
const (
	byteString     = 0x40 // major type 2
	byteStringMask = 0xe0
	lengthMask     = 0x1f
	lengthOneByte  = 24
	lengthTwoBytes = 25
	lengthFour     = 26
)

func errNotByteString() error {
	return trace.BadParameter("proto: payload of a data frame is not a byte string")
}

// Bytes returns the content of a data frame without copying it. It returns a trace.BadParameter error for a payload
// that is not a byte string of definite length.
func (frm Frame) Bytes() ([]byte, error) {
	raw := frm.Payload
	if len(raw) == 0 || raw[0]&byteStringMask != byteString {
		return nil, errNotByteString()
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
		return nil, errNotByteString()
	}
	if uint64(len(raw)-head) != size {
		return nil, errNotByteString()
	}
	return raw[head:], nil
}

// Marshal encodes a value that is stored or hashed outside a frame. It uses the same deterministic CBOR as frames.
func Marshal(val any) ([]byte, error) {
	raw, err := encMode.Marshal(val)
	if err != nil {
		return nil, fmt.Errorf("proto: encode value: %w", err)
	}
	return raw, nil
}

// Unmarshal decodes the output of Marshal. It returns a trace.BadParameter error for data that does not fit val.
func Unmarshal(raw []byte, val any) error {
	if err := decMode.Unmarshal(raw, val); err != nil {
		return fmt.Errorf("proto: decode value: %w", trace.BadParameter("malformed value: %v", err))
	}
	return nil
}
