package main

import (
	"context"

	"github.com/sardineline/sardineline/sard/domain"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

func (d *daemon) newDomains() {
	d.domains = domain.New(domain.Config{
		Self: d.roster.Self(), Roster: d.roster, Peers: d.link, Logger: d.log.Named("domain"),
		Acquire: func(context.Context, ident.DataCentre) (domain.Lease, error) {
			return nil, fault.New(fault.Conflict, "acquire", "", "not wired yet")
		},
		Holder: func(context.Context, ident.DataCentre) (ident.Instance, error) { return "", nil },
	})
}
