package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// leavingServerTTL is how long a backend server counts as leaving after it last refused a request or announced that it
// leaves.
const leavingServerTTL = 90 * time.Second

// LeavingServer marks a backend server as leaving: it is about to stop, so it should get no new requests.
type LeavingServer struct {
	// Server is the name of the backend server.
	Server ident.Server
	// Remaining is the time until the mark expires. Instances pass on the rest of it, so marks that are passed around
	// expire as well.
	Remaining time.Duration
}

// leavingServers holds the backend servers that are leaving and when each mark expires.
type leavingServers map[ident.Server]time.Time

// merge adds received marks and returns the servers that were not marked before. A mark that is received again can only
// be extended.
func (l leavingServers) merge(now time.Time, received []LeavingServer) []ident.Server {
	var added []ident.Server
	for _, server := range received {
		expires := now.Add(min(server.Remaining, leavingServerTTL))
		current, ok := l[server.Server]
		if !ok || !current.After(now) {
			added = append(added, server.Server)
		}
		if expires.After(current) {
			l[server.Server] = expires
		}
	}
	return added
}

// unexpired returns the marks that have not expired, ordered by server name, and removes the others.
func (l leavingServers) unexpired(now time.Time) []LeavingServer {
	var list []LeavingServer
	for server, expires := range l {
		if !expires.After(now) {
			delete(l, server)
			continue
		}
		list = append(list, LeavingServer{Server: server, Remaining: expires.Sub(now)})
	}
	slices.SortFunc(list, func(a, b LeavingServer) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return list
}
