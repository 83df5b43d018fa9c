package setup

import (
	"net"
	"strconv"
)

// Ports is the layout of listeners from a base port on.
type Ports struct {
	// Host is the IP number of all listeners.
	Host string
	// Base is the port of the table service.
	Base int
}

// The offsets of the listeners from the base port.
const (
	tableOffset   = 0
	objectOffset  = 1
	fleetOffset   = 2
	controlOffset = 3
	workerOffset  = 100
	serverOffset  = workerOffset + MaxMachines
)

// TableAddr returns the address of the table service.
func (p Ports) TableAddr() string { return p.at(tableOffset) }

// ObjectAddr returns the address of the object store.
func (p Ports) ObjectAddr() string { return p.at(objectOffset) }

// FleetAddr returns the address of the fleet list.
func (p Ports) FleetAddr() string { return p.at(fleetOffset) }

// ControlAddr returns the address of the control listener.
func (p Ports) ControlAddr() string { return p.at(controlOffset) }

// WorkerAddr returns the address of the nth worker, from 0.
func (p Ports) WorkerAddr(n int) string { return p.at(workerOffset + n) }

// ServerAddr returns the address of the nth backend server, from 0.
func (p Ports) ServerAddr(n int) string { return p.at(serverOffset + n) }

func (p Ports) at(offset int) string {
	return net.JoinHostPort(p.Host, strconv.Itoa(p.Base+offset))
}
