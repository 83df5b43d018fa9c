package route

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// MarkServerLeaving stops new requests to a server that, as another instance has found, is leaving. A mark that has
// expired is not renewed for another LeavingMarkTTL, so that instances do not keep renewing each other's marks.
func (r *Router) MarkServerLeaving(name ident.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b, ok := r.backends[name]
	if !ok || now.Before(b.leavingUntil.Add(r.cfg.LeavingMarkTTL)) {
		return
	}
	if b.markLeaving(now, r.cfg.LeavingMarkTTL) {
		r.log.Info("backend server is leaving", "server", name, "reason", "peer")
	}
}

// LeavingServers returns the backend servers that get no new requests because they are leaving, according to the
// platform's list or to an instance that noticed it.
func (r *Router) LeavingServers() []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []ident.Server
	now := time.Now()
	for name, b := range r.backends {
		if b.isLeaving(now) {
			found = append(found, name)
		}
	}
	return found
}

// detectLeaving marks a server that showed that it is leaving and notifies the other instances.
func (r *Router) detectLeaving(b *backend, reason string) {
	r.mu.Lock()
	newlyMarked := b.markLeaving(time.Now(), r.cfg.LeavingMarkTTL)
	r.mu.Unlock()
	if !newlyMarked {
		return
	}
	r.log.Info("backend server is leaving", "server", b.server.Name, "reason", reason)
	r.cfg.OnServerLeaving(b.server.Name)
}
