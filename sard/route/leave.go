package route

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// MarkServerLeaving stops new work to a server that another instance has found to be leaving. A mark that has lapsed
// here is not taken again for the LeavingHold, so that instances do not keep each other's marks alive.
func (r *Router) MarkServerLeaving(name ident.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b, ok := r.backends[name]
	if !ok || now.Before(b.leavingTil.Add(r.cfg.LeavingMarkTTL)) {
		return
	}
	if b.markLeaving(now, r.cfg.LeavingMarkTTL) {
		r.log.Info("server is leaving", "server", name, "reason", "peer")
	}
}

// LeavingServers returns the servers that are marked as leaving.
func (r *Router) LeavingServers() []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []ident.Server
	now := time.Now()
	for name, b := range r.backends {
		if b.leaving(now) {
			found = append(found, name)
		}
	}
	return found
}

// noticeLeaving marks a server by a sign of its own and tells the peers.
func (r *Router) noticeLeaving(b *backend, reason string) {
	r.mu.Lock()
	fresh := b.markLeaving(time.Now(), r.cfg.LeavingMarkTTL)
	r.mu.Unlock()
	if !fresh {
		return
	}
	r.log.Info("server is leaving", "server", b.server.Name, "reason", reason)
	r.cfg.OnServerLeaving(b.server.Name)
}
