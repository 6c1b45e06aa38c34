package proto

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against two fields of a message with the same CBOR key: the codec then omits both, without an error.
func TestKeysAreUnique(t *testing.T) {
	for _, msg := range []any{
		Peer{},
		Challenge{},
		Hello{},
		Welcome{},
		Cost{},
		Open{},
		Segment{},
		Begin{},
		Accept{},
		Head{},
		Credit{},
		Cancel{},
		Result{},
		Report{},
		PeerVersion{},
		Heartbeat{},
		State{},
		EntryDemand{},
		AccountDemand{},
		Crash{},
		Clear{},
	} {
		typ := reflect.TypeOf(msg)
		seen := make(map[string]string)
		for idx := range typ.NumField() {
			fld := typ.Field(idx)
			key, _, _ := strings.Cut(fld.Tag.Get("cbor"), ",")
			if other, taken := seen[key]; taken {
				t.Errorf("%s: fields %s and %s have the same CBOR key %s", typ.Name(), other, fld.Name, key)
			}
			seen[key] = fld.Name
		}
	}
}
