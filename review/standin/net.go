package main

import (
	"net"
	"net/http"
)

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return lis
}

// freeAddress returns a loopback address that is free at the moment.
func freeAddress() string {
	lis := listen()
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// serve serves until the listener is closed.
func serve(lis net.Listener, hdl http.Handler) { _ = http.Serve(lis, hdl) }
