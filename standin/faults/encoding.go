package faults

import "github.com/sardineline/sardineline/sard/fault"

// MarshalText returns the name of the component type.
func (p Peer) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the name of a component type.
func (p *Peer) UnmarshalText(text []byte) error {
	for v := Table; v <= Server; v++ {
		if v.String() == string(text) {
			*p = v
			return nil
		}
	}
	return fault.New(fault.Invalid, "read fault", "", "unknown peer %q", text)
}

// MarshalText returns the name of the fault type.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a fault type.
func (k *Kind) UnmarshalText(text []byte) error {
	for v := Down; v <= Twice; v++ {
		if v.String() == string(text) {
			*k = v
			return nil
		}
	}
	return fault.New(fault.Invalid, "read fault", "", "unknown fault kind %q", text)
}
