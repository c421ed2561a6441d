//go:build linux

package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// toSockaddr returns the address family and the socket address of a. IPv4 addresses mapped to IPv6 count as IPv4.
func toSockaddr(a netip.AddrPort) (domain int, address unix.Sockaddr) {
	ip := a.Addr().Unmap()
	if ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// toAddrPort returns the address and port of a socket address, or the zero value for one of another family.
func toAddrPort(address unix.Sockaddr) netip.AddrPort {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), uint16(address.Port))
	}
	return netip.AddrPort{}
}
