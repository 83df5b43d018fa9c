// Package intake bounds what clients can make a process hold: connections, headers and bodies of requests, requests that are
// being served, and responses that nobody reads. The bounds follow from the memory and the descriptors of the machine.
//
// A client beyond them costs itself. At the limit of connections, the one that has been idle or unfinished longest is closed.
// At the limit of bodies, the slowest and largest one of the account that holds most is given up. A connection whose request
// has arrived whole is not closed before its response was sent.
package intake

import (
	"golang.org/x/sys/unix"
)

// Machine says what the process may use.
type Machine struct {
	// MemoryBytes is the memory; 0 means defaultMemoryBytes.
	MemoryBytes int64
	// Descriptors is the number of file descriptors; 0 means as many as the operating system allows.
	Descriptors int
}

// Limits bound what all clients of a Guard together can make the process hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// BodyBytes is the memory of bodies that are being read, or whose requests wait to be served.
	BodyBytes int64
	// ServingBytes is the memory of requests that are being served, as their handlers estimate it. No account gets more than
	// half of it.
	ServingBytes int64
}

const (
	// defaultMemoryBytes is the memory of a machine that says nothing of it.
	defaultMemoryBytes = 256 << 20
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// connectionBytes is what a connection makes the process hold besides bodies: its buffers, a goroutine, a header, and
	// received bytes that were not read yet.
	connectionBytes = 64 << 10
)

// The parts of the machine that are left to clients. The rest is for the scheduler, the store, workers and the runtime.
const (
	socketDivisor           = 4
	connectionMemoryDivisor = 4
	bodyMemoryDivisor       = 8
	servingMemoryDivisor    = 8
)

// Limits of a machine that is too small for more.
const (
	minConnections = 16
	minBytes       = 4 << 20
)

// NewLimits returns the limits for the clients of a process on a machine.
func NewLimits(m Machine) Limits {
	memory := m.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	sockets := int64(availableDescriptors(m.Descriptors) - reservedDescriptors)
	connections := min(sockets/socketDivisor, memory/connectionMemoryDivisor/connectionBytes)
	return Limits{
		Connections:  int(max(connections, minConnections)),
		BodyBytes:    max(memory/bodyMemoryDivisor, minBytes),
		ServingBytes: max(memory/servingMemoryDivisor, minBytes),
	}
}

// ProbeLimits returns the limits for a listener of readiness checks or metrics.
func ProbeLimits() Limits {
	return Limits{Connections: 64, BodyBytes: minBytes, ServingBytes: minBytes}
}

// availableDescriptors returns the smaller of the number that the process was told and the number that the operating system
// allows it.
func availableDescriptors(told int) int {
	var allowed unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &allowed); err != nil || allowed.Cur > uint64(maxDescriptors) {
		allowed.Cur = uint64(maxDescriptors)
	}
	if told <= 0 {
		return int(allowed.Cur)
	}
	return min(told, int(allowed.Cur))
}

// maxDescriptors is the largest number of descriptors that is taken into account.
const maxDescriptors = 1 << 20
