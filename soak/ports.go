package soak

import (
	"fmt"
	"net"
	"os"
)

// ports picks ports on the loopback address of this soak, each of them once.
type ports struct {
	host   string
	picked map[int]bool
}

func newPorts() *ports { return &ports{host: loopback(), picked: make(map[int]bool)} }

// loopback returns a loopback address derived from this process's ID. The ports of a front are free while it is down;
// with separate addresses, another soak on the machine cannot take them.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// next returns an address with a port that is free and has not been picked before. The system may offer a port again
// that nobody listens on yet.
func (prt *ports) next() (string, error) {
	for {
		lis, err := net.Listen("tcp", prt.host+":0") //nolint:noctx // Only the number of the port is wanted.
		if err != nil {
			return "", fmt.Errorf("soak: find a port: %w", err)
		}
		num := lis.Addr().(*net.TCPAddr).Port //nolint:errcheck // A TCP listener has a TCP address.
		_ = lis.Close()
		if !prt.picked[num] {
			prt.picked[num] = true
			return fmt.Sprint(prt.host, ":", num), nil
		}
	}
}
