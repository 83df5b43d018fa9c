package ident

import "github.com/rotisserie/eris"

// parseName returns the value of an enumeration, from 0 to last, whose String method returns text.
func parseName[T interface {
	~int
	String() string
}](text []byte, last T) (T, error) {
	for v := T(0); v <= last; v++ {
		if v.String() == string(text) {
			return v, nil
		}
	}
	return 0, eris.Errorf("unknown name %q", text)
}

// MarshalText encodes s as its name.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a job state.
func (s *JobState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, Cancelled)
	return err
}

// MarshalText encodes o as its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = parseName(text, Unknown)
	return err
}

// MarshalText encodes c as its name.
func (c RequestClass) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the name of a request class.
func (c *RequestClass) UnmarshalText(text []byte) (err error) {
	*c, err = parseName(text, NotRepeated)
	return err
}

// MarshalText encodes s as its name.
func (s PartState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a part state.
func (s *PartState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, PartStopped)
	return err
}

// MarshalText encodes s as its name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a member state.
func (s *MemberState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, Leaving)
	return err
}
