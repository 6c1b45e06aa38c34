package proto_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

func ExampleEncode() {
	raw, _ := proto.Encode(proto.KindCancel, 7, proto.Cancel{Reason: "caller-gone"})
	frm, _ := proto.Decode(raw)
	msg, _ := proto.Parse[proto.Cancel](frm)
	fmt.Println(frm.Kind, frm.Stream, msg.Reason)
	// Output: cancel 7 caller-gone
}

// Guards against a frame of another protocol version that is misread instead of rejected.
func TestOtherVersionIsRejected(t *testing.T) {
	is := is.New(t)
	raw, err := proto.Marshal(proto.Frame{Version: 9, Kind: proto.KindHeartbeat, Payload: []byte{0xa0}})
	is.NoErr(err)
	_, err = proto.Decode(raw)
	is.True(trace.IsNotImplemented(err))
}

// Guards against a panic or an endless loop on bytes that are not a frame.
func FuzzDecode(f *testing.F) {
	raw, _ := proto.Encode(proto.KindOpen, 1, proto.Open{Account: "a"})
	f.Add(raw)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frm, err := proto.Decode(data)
		if err == nil {
			_, _ = proto.Parse[proto.Open](frm)
			_, _ = frm.Bytes()
		}
	})
}

// Guards against a body that is truncated, shifted or read beyond its end, for each length of the CBOR head.
func TestBytesOfDataFrames(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, 23, 24, 255, 256, 65535, 65536} {
		want := bytes.Repeat([]byte{7}, size)
		raw, err := proto.Encode(proto.KindData, 1, want)
		is.NoErr(err)
		frm, err := proto.Decode(raw)
		is.NoErr(err)
		got, err := frm.Bytes()
		is.NoErr(err)
		is.True(bytes.Equal(got, want))
		frm.Payload = frm.Payload[:len(frm.Payload)-1]
		_, err = frm.Bytes()
		is.True(trace.IsBadParameter(err))
	}
	_, err := proto.Frame{Payload: []byte{0x5f, 0x41, 0x00, 0xff}}.Bytes() // byte string of indefinite length
	is.True(trace.IsBadParameter(err))
}
