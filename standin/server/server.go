// Package server simulates a backend server, which processes short requests. Each running request occupies one slot;
// the server refuses requests when all slots are in use, and connections over a limit.
package server

import (
	"sync"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/ledger"
)

// Config configures a Server.
type Config struct {
	Name       ident.Server
	DataCentre ident.DataCentre
	// Slots is the maximum number of requests that run at the same time; 0 means 8.
	Slots int
	// Connections is the maximum number of open connections; 0 means 60.
	Connections int
	// Faults holds the simulated faults that are active; nil for none.
	Faults *faults.Set
	// Ledger records executed and refused requests; nil to discard the records.
	Ledger *ledger.Ledger
}

// Defaults of Config.
const (
	defaultSlots       = 8
	defaultConnections = 60
)

// Server is a simulated backend server. It implements http.Handler.
type Server struct {
	config    Config
	component faults.Component

	mu              sync.Mutex
	runningRequests int
	openConnections int
	peakConnections int
	lastResponse    encodedResponse
}

// New creates a Server and fills in the defaults of config.
func New(config Config) *Server {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.Connections == 0 {
		config.Connections = defaultConnections
	}
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	if config.Ledger == nil {
		config.Ledger = ledger.New(nil)
	}
	component := faults.Component{Peer: faults.Server, Name: string(config.Name), DataCentre: config.DataCentre}
	return &Server{config: config, component: component}
}

// acquireSlot reserves a slot for a request. It returns false if all slots are in use.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runningRequests >= s.config.Slots {
		return false
	}
	s.runningRequests++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningRequests--
}

func (s *Server) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Slots - s.runningRequests
}

// swapLastResponse stores next as the last response of the server, which a Cross fault sends to another request, and
// returns the previous one.
func (s *Server) swapLastResponse(next encodedResponse) encodedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastResponse
	s.lastResponse = next
	return previous
}
