package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// markTerm is how long a server counts as leaving after it was last seen to refuse or announce it.
const markTerm = 90 * time.Second

// LeavingServer tells that a backend server is leaving.
type LeavingServer struct {
	Server ident.Server
	// Remaining is the time for which the mark is still good. It shrinks on its way, so marks end.
	Remaining time.Duration
}

// marks holds the backend servers that are leaving and until when.
type marks map[ident.Server]time.Time

// merge takes marks over and returns the servers that were not marked before.
func (m marks) merge(now time.Time, received []LeavingServer) []ident.Server {
	var added []ident.Server
	for _, mark := range received {
		until := now.Add(min(mark.Remaining, markTerm))
		known, ok := m[mark.Server]
		if !ok || !known.After(now) {
			added = append(added, mark.Server)
		}
		if until.After(known) {
			m[mark.Server] = until
		}
	}
	return added
}

// current lists the marks that are still good, in the order of the servers' names.
func (m marks) current(now time.Time) []LeavingServer {
	var list []LeavingServer
	for server, until := range m {
		if !until.After(now) {
			delete(m, server)
			continue
		}
		list = append(list, LeavingServer{Server: server, Remaining: until.Sub(now)})
	}
	slices.SortFunc(list, func(a, b LeavingServer) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return list
}
