package proto

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Fingerprint identifies the content of a request, independent of the client account that sends it. Zero means none.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (fpr Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fpr)) }

// MarshalText implements encoding.TextMarshaler. A fingerprint is a string in JSON, because a number would lose its
// last digits.
func (fpr Fingerprint) MarshalText() ([]byte, error) { return []byte(fpr.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns the errors of ParseFingerprint.
func (fpr *Fingerprint) UnmarshalText(text []byte) error {
	val, err := ParseFingerprint(string(text))
	*fpr = val
	return err
}

// ParseFingerprint parses the output of String. It returns a trace.BadParameter error for any other text, and for zero.
func ParseFingerprint(text string) (Fingerprint, error) {
	val, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || val == 0 {
		return 0, trace.BadParameter("proto: %q is not a fingerprint of 16 hexadecimal digits", text)
	}
	return Fingerprint(val), nil
}

// Crash tells which requests were running on an engine when it crashed. It is recorded in the config stream, and is
// sent between entries and agents until it is in the log.
type Crash struct {
	ID         string        `cbor:"1,keyasint" json:"crash"` // unique for each crash
	Upstream   string        `cbor:"2,keyasint" json:"upstream"`
	At         int64         `cbor:"3,keyasint" json:"at"`      // milliseconds since the epoch
	Running    []Fingerprint `cbor:"4,keyasint" json:"running"` // the request started last is the first
	SuspectFor time.Duration `cbor:"5,keyasint" json:"suspect-for"`
	BlockFor   time.Duration `cbor:"6,keyasint" json:"block-for"`
}

// Clear tells that a suspect has finished. Crash is the ID of the crash for which it was suspected: a suspicion of a
// later crash is not cleared.
type Clear struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Crash       string      `cbor:"2,keyasint" json:"crash"`
}
