package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
)

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return lis
}

// freeAddress returns a loopback address that is free at the moment. Its host is that of this process alone, so that no
// outgoing connection and no other play takes the port meanwhile.
func freeAddress() string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
	lis, err := net.Listen("tcp4", host+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// serve serves until the listener is closed.
func serve(lis net.Listener, hdl http.Handler) { _ = http.Serve(lis, hdl) }
