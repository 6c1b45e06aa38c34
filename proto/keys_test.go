package proto

import (
	"reflect"
	"testing"
)

// Guards against two fields of a message with the same key: the codec then sends neither of them, without an error.
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
		Beat{},
		State{},
	} {
		typ := reflect.TypeOf(msg)
		seen := make(map[string]string)
		for idx := range typ.NumField() {
			fld := typ.Field(idx)
			var key string
			for _, chr := range fld.Tag.Get("cbor") {
				if chr == ',' {
					break
				}
				key += string(chr)
			}
			if other, taken := seen[key]; taken {
				t.Errorf("%s: %s and %s have the key %s", typ.Name(), other, fld.Name, key)
			}
			seen[key] = fld.Name
		}
	}
}
