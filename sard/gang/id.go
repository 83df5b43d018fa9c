package gang

import (
	"strings"

	"github.com/sardineline/sardineline/sard/ident"
)

// dataCentreSeparator follows the data centre's name in a job ID. It needs no escaping in a URL.
const dataCentreSeparator = "."

// DataCentreOf returns the data centre in which a job was accepted, which is the prefix of its ID.
func DataCentreOf(job ident.Job) ident.DataCentre {
	end := max(strings.LastIndex(string(job), dataCentreSeparator), 0)
	return ident.DataCentre(job[:end])
}
