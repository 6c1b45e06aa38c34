package peers_test

import (
	"net"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// TestOddAddressesAreNoPeers guards against a record among the peers' addresses that is none of one host: a name, which
// would be looked up, or an address to which datagrams reach many hosts or cannot be sent.
func TestOddAddressesAreNoPeers(t *testing.T) {
	iis := is.New(t)
	one := start(t, "one", freeAddress(t))
	for _, address := range []string{
		"", "x", "localhost:7001", "h.example:7001", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
		"127.0.0.1:http", ":7001", "0.0.0.0:7001", "224.0.0.1:7001", "[::1]:7001", "[fe80::1%a]:7001",
		"127.0.0.1:7001\n", "\xff\x00",
	} {
		iis.True(trace.IsBadParameter(one.exc.AddPeer(address)))
	}
	two := start(t, "two", freeAddress(t))
	iis.NoErr(one.exc.AddPeer(two.addr))
	for one.exc.LiveProcesses() < 2 { // The odd ones leave it alone.
		time.Sleep(time.Millisecond)
	}
}

// TestOddDatagramsAreDropped guards against a process that ends, or that forgets its peers, because of datagrams of
// another writer.
func TestOddDatagramsAreDropped(t *testing.T) {
	iis := is.New(t)
	one, two := start(t, "one", freeAddress(t)), start(t, "two", freeAddress(t))
	iis.NoErr(one.exc.AddPeer(two.addr))
	con, err := net.Dial("udp4", one.addr)
	iis.NoErr(err)
	t.Cleanup(func() { _ = con.Close() })
	for range 20 {
		for _, datagram := range oddDatagrams() {
			_, err := con.Write(datagram)
			iis.NoErr(err)
		}
	}
	for one.exc.LiveProcesses() < 2 {
		time.Sleep(time.Millisecond)
	}
}

// oddDatagrams returns datagrams that hold no message: nested deeply, with lengths, numbers or types that do not fit.
func oddDatagrams() [][]byte {
	nested := make([]byte, 60_000)
	for idx := range nested {
		nested[idx] = 0x81 // an array of one element
	}
	return [][]byte{
		{},
		{0x00},
		{0xf6},
		{0xff},
		nested,
		append([]byte{0xa1, 0x04}, nested...),
		{0xa1, 0x04, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // tasks: an array of 2^63-1 elements
		{0xa1, 0x02, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // name: a text of 2^63-1 bytes
		{0xa1, 0x01, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // run: 2^64-1
		{0xa1, 0x01, 0xfb, 0x7f, 0xf0, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00}, // run: infinity
		{0xa1, 0x04, 0x9f, 0xff},       // tasks: an array of unknown length
		{0xa1, 0x02, 0x62, 0xff, 0xfe}, // name: not UTF-8
		{0xa2, 0x01, 0x01, 0x01, 0x02}, // run: there twice
	}
}
