package gang

import (
	"strings"

	"github.com/sardineline/sardineline/sard/ident"
)

// domainMark ends the domain's name in a job's id. It needs no escaping in a URL.
const domainMark = "."

// DataCentreOf returns the domain in which a job was accepted, which its id names.
func DataCentreOf(job ident.Job) ident.DataCentre {
	end := max(strings.LastIndex(string(job), domainMark), 0)
	return ident.DataCentre(job[:end])
}
