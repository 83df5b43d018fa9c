package main

import (
	"context"
	"net"
)

// network opens the listeners and connections of an instance. Tests replace it by one in memory.
type network interface {
	// Listen opens a listener at an IP address and port.
	Listen(address string) (net.Listener, error)
	// DialContext opens a connection, like net.Dialer.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp is the operating system's TCP network.
type tcp struct{ net.Dialer }

// Listen opens a TCP listener.
func (*tcp) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
