package peers

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// AddPeer adds a process by its address and sends it this process's tasks. It returns a trace.BadParameter error if the
// text is not the IPv4 address and port of one host.
func (exc *Exchange) AddPeer(address string) error {
	if address == exc.opts.Address {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("peers: add peer: %w", trace.BadParameter("%v", err))
	}
	host := parsed.Addr()
	if !host.Is4() || host.IsUnspecified() || host.IsMulticast() || parsed.Port() == 0 {
		err := trace.BadParameter("%q is not the IPv4 address of one host", address)
		return fmt.Errorf("peers: add peer: %w", err)
	}
	addr := net.UDPAddrFromAddrPort(parsed)
	exc.mu.Lock()
	if per := exc.getOrAddPeer(addr); per != nil {
		per.registered = true
		exc.addFront(addr)
	}
	exc.mu.Unlock()
	// The peer answers with its own tasks.
	exc.sendAllTasks(addr, "")
	return nil
}

// getOrAddPeer returns the peer with an address, and adds it if needed. It returns nil if there are too many peers. The
// caller must hold the lock.
func (exc *Exchange) getOrAddPeer(addr *net.UDPAddr) *peer {
	per := exc.peers[addr.String()]
	if per == nil && len(exc.peers) < maxPeers {
		per = &peer{addr: addr, inactiveSince: exc.opts.Clock.Now()}
		exc.peers[addr.String()] = per
	}
	return per
}
