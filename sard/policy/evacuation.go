package policy

import (
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// Evacuations is the set of data centres whose workers must get no new parts, as the operator decides. It is immutable.
// A nil pointer stands for the time before the set was read, in which every data centre counts as evacuated.
type Evacuations struct {
	dataCentres map[ident.DataCentre]struct{}
}

// NewEvacuations returns the set of the given data centres.
func NewEvacuations(dataCentres ...ident.DataCentre) *Evacuations {
	e := &Evacuations{dataCentres: map[ident.DataCentre]struct{}{}}
	for _, dc := range dataCentres {
		e.dataCentres[dc] = struct{}{}
	}
	return e
}

// Contains reports whether the workers of a data centre must get no new parts.
func (e *Evacuations) Contains(dc ident.DataCentre) bool {
	if e == nil {
		return true
	}
	_, ok := e.dataCentres[dc]
	return ok
}

// List returns the evacuated data centres in alphabetical order.
func (e *Evacuations) List() []ident.DataCentre {
	if e == nil {
		return nil
	}
	list := make([]ident.DataCentre, 0, len(e.dataCentres))
	for dc := range e.dataCentres {
		list = append(list, dc)
	}
	slices.Sort(list)
	return list
}

// evacuationRow is the last known state of the row that requests the evacuation of a data centre.
type evacuationRow struct {
	version store.Version
	// removed indicates that the data centre was taken back.
	removed bool
}

// evacuationRows tracks the rows that request evacuations. Changes may arrive in any order and more than once.
type evacuationRows map[ident.DataCentre]evacuationRow

// change records that a row was written or deleted, unless a later change is known. It reports whether the set changed.
func (rows evacuationRows) change(dc ident.DataCentre, next evacuationRow) bool {
	last, known := rows[dc]
	if known && next.version <= last.version {
		return false
	}
	rows[dc] = next
	if !known {
		return !next.removed
	}
	return last.removed != next.removed
}

// removeMissing records the removal of each row that is not in a listing of all rows as of a version. It reports whether
// the set changed.
func (rows evacuationRows) removeMissing(listed map[ident.DataCentre]bool, asOf store.Version) bool {
	changed := false
	for dc, last := range rows {
		if !listed[dc] && !last.removed && last.version < asOf {
			rows[dc] = evacuationRow{version: asOf, removed: true}
			changed = true
		}
	}
	return changed
}

// set returns the current set of evacuated data centres.
func (rows evacuationRows) set() *Evacuations {
	e := NewEvacuations()
	for dc, row := range rows {
		if !row.removed {
			e.dataCentres[dc] = struct{}{}
		}
	}
	return e
}
