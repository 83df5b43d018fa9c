package setup

import (
	"net"
	"strconv"
)

// Ports assigns an address to each listener of the stand-in. The ports count up from a base port.
type Ports struct {
	// Host is the IP address of all listeners.
	Host string
	// Base is the lowest port, which is that of the table service.
	Base int
}

// Offsets of the listeners' ports from the base port. Those of workers and backend servers are the offsets of the first
// one.
const (
	tableOffset   = 0
	objectOffset  = 1
	fleetOffset   = 2
	controlOffset = 3
	workerOffset  = 100
	serverOffset  = workerOffset + MaxMachines
)

// TableAddr returns the address of the table service.
func (p Ports) TableAddr() string { return p.address(tableOffset) }

// ObjectAddr returns the address of the object store.
func (p Ports) ObjectAddr() string { return p.address(objectOffset) }

// FleetAddr returns the address of the fleet list.
func (p Ports) FleetAddr() string { return p.address(fleetOffset) }

// ControlAddr returns the address of the control interface, with which tests inject faults and read what was executed.
func (p Ports) ControlAddr() string { return p.address(controlOffset) }

// WorkerAddr returns the address of the nth worker, from 0.
func (p Ports) WorkerAddr(n int) string { return p.address(workerOffset + n) }

// ServerAddr returns the address of the nth backend server, from 0.
func (p Ports) ServerAddr(n int) string { return p.address(serverOffset + n) }

// address returns the host and port of the listener whose port is offset above the base port.
func (p Ports) address(offset int) string {
	return net.JoinHostPort(p.Host, strconv.Itoa(p.Base+offset))
}
