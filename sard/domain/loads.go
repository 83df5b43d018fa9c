package domain

import (
	"maps"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/roster"
)

// OwnLoads returns the capacity and the waiting gangs of each domain that this instance holds, for its heartbeats.
func (m *Manager) OwnLoads() []roster.DomainLoad {
	var loads []roster.DomainLoad
	for _, status := range m.HeldDomains() {
		loads = append(loads, roster.DomainLoad{
			DataCentre:  status.DataCentre,
			Epoch:       status.Epoch,
			Total:       status.Summary.Accelerators,
			Free:        status.Summary.Free,
			LargestFree: status.Summary.LargestFree,
			Waiting:     status.Summary.Waiting,
		})
	}
	return loads
}

// HeldDomains returns the status of each domain that this instance holds, ordered by name.
func (m *Manager) HeldDomains() []peer.DomainStatus {
	m.mu.Lock()
	held := maps.Clone(m.held)
	m.mu.Unlock()
	var statuses []peer.DomainStatus
	for _, dc := range slices.Sorted(maps.Keys(held)) {
		h := held[dc]
		statuses = append(statuses, peer.DomainStatus{DataCentre: dc, Epoch: h.lease.Epoch(), Summary: h.Summary()})
	}
	return statuses
}

// Loads returns the last known load of each domain, ordered by name. A domain without a reported holder counts as
// entirely free.
func (m *Manager) Loads() []roster.DomainLoad {
	ownLoads := m.OwnLoads()
	var loads []roster.DomainLoad
	for _, dc := range m.Domains() {
		loads = append(loads, m.domainLoad(dc, ownLoads))
	}
	return loads
}

// domainLoad returns the last known load of a domain: from ownLoads, or from the heartbeat of its holder.
func (m *Manager) domainLoad(dc ident.DataCentre, ownLoads []roster.DomainLoad) roster.DomainLoad {
	for _, load := range ownLoads {
		if load.DataCentre == dc {
			return load
		}
	}
	hb, ok := m.reportedHolder(dc)
	if !ok {
		m.mu.Lock()
		total := m.totalAccelerators(dc)
		m.mu.Unlock()
		return roster.DomainLoad{DataCentre: dc, Total: total, Free: total, LargestFree: total}
	}
	i := slices.IndexFunc(hb.Domains, func(load roster.DomainLoad) bool { return load.DataCentre == dc })
	return hb.Domains[i]
}

// totalAccelerators returns the number of accelerators in a domain. The caller holds m.mu.
func (m *Manager) totalAccelerators(dc ident.DataCentre) ident.Accelerators {
	var total ident.Accelerators
	for _, w := range m.topology[dc] {
		total += w.Accelerators
	}
	return total
}
