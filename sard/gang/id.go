package gang

import (
	"strings"

	"github.com/sardineline/sardineline/sard/ident"
)

// DomainOf returns the domain in which a job was accepted, which its id names.
func DomainOf(job ident.Job) ident.DataCentre {
	dc, _, _ := strings.Cut(string(job), "/")
	return ident.DataCentre(dc)
}
