package domain

import (
	"maps"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/roster"
)

// OwnLoads returns the loads of the domains that this instance holds.
func (m *Manager) OwnLoads() []roster.DomainLoad {
	var loads []roster.DomainLoad
	for _, s := range m.HeldDomains() {
		loads = append(loads, roster.DomainLoad{
			DataCentre:  s.DataCentre,
			Epoch:       s.Epoch,
			Total:       s.Summary.Accelerators,
			Free:        s.Summary.Free,
			LargestFree: s.Summary.LargestFree,
			Waiting:     s.Summary.Waiting,
		})
	}
	return loads
}

// HeldDomains returns the states of the domains that this instance holds, by name.
func (m *Manager) HeldDomains() []peer.DomainStatus {
	m.mu.Lock()
	held := maps.Clone(m.held)
	m.mu.Unlock()
	var all []peer.DomainStatus
	for _, dc := range slices.Sorted(maps.Keys(held)) {
		h := held[dc]
		all = append(all, peer.DomainStatus{DataCentre: dc, Epoch: h.lease.Epoch(), Summary: h.Summary()})
	}
	return all
}

// Loads returns what is known of the loads of all domains, by name. A domain whose holder was not heard counts as
// free.
func (m *Manager) Loads() []roster.DomainLoad {
	own := m.OwnLoads()
	var all []roster.DomainLoad
	for _, dc := range m.Domains() {
		all = append(all, m.load(dc, own))
	}
	return all
}

func (m *Manager) load(dc ident.DataCentre, own []roster.DomainLoad) roster.DomainLoad {
	for _, l := range own {
		if l.DataCentre == dc {
			return l
		}
	}
	hb, ok := m.heard(dc)
	if !ok {
		m.mu.Lock()
		total := m.size(dc)
		m.mu.Unlock()
		return roster.DomainLoad{DataCentre: dc, Total: total, Free: total, LargestFree: total}
	}
	i := slices.IndexFunc(hb.Domains, func(l roster.DomainLoad) bool { return l.DataCentre == dc })
	return hb.Domains[i]
}

// size returns the number of accelerators of a domain. The caller holds the lock.
func (m *Manager) size(dc ident.DataCentre) ident.Accelerators {
	var total ident.Accelerators
	for _, w := range m.topology[dc] {
		total += w.Accelerators
	}
	return total
}
