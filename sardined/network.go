package main

import (
	"context"
	"net"
)

// network opens the listeners and connections of an instance.
type network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp is the network of the machine.
type tcp struct{ net.Dialer }

// Listen opens a TCP listener.
func (*tcp) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
