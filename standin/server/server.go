// Package server plays a backend server: it answers short requests in a bounded number of slots.
package server

import (
	"sync"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/ledger"
)

// Config makes a backend server.
type Config struct {
	Name       ident.Server
	DataCentre ident.DataCentre
	// Slots is how many requests run at once; 0 means 8.
	Slots int
	// Connections is how many connections are kept open; 0 means 60.
	Connections int
	// Faults are the faults that are on; nil for none.
	Faults *faults.Set
	// Ledger records what runs; nil for none.
	Ledger *ledger.Ledger
}

const (
	defaultSlots       = 8
	defaultConnections = 60
)

// Server is a backend server as an http.Handler.
type Server struct {
	config Config
	place  faults.Component

	mu          sync.Mutex
	running     int
	connections int
	peak        int
	last        answer
}

// New makes a backend server.
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
	place := faults.Component{Peer: faults.Server, Name: string(config.Name), DataCentre: config.DataCentre}
	return &Server{config: config, place: place}
}

// take takes a slot, when one is free.
func (s *Server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Slots - s.running
}

// exchange keeps an answer as the last one and returns the one before.
func (s *Server) exchange(a answer) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.last
	s.last = a
	return before
}
