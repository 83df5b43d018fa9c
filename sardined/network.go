package main

import (
	"context"
	"net"

	"github.com/sardineline/sardineline/sard/intake"
)

// network opens the listeners and connections of an instance. Tests replace it by an in-memory network.
type network interface {
	// Listen opens a listener at an IP address and port.
	Listen(address string) (net.Listener, error)
	// DialContext opens a connection to an address, like net.Dialer.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp is the TCP network of the operating system.
type tcp struct{ net.Dialer }

// Listen opens a TCP listener.
func (*tcp) Listen(address string) (net.Listener, error) {
	config := intake.ListenConfig()
	return config.Listen(context.Background(), "tcp", address)
}
