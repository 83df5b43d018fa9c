package ident

import "github.com/rotisserie/eris"

// parseName finds the enum value whose generated name is text.
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

// MarshalText writes the name of s.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a job state.
func (s *JobState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, Cancelled)
	return err
}

// MarshalText writes the name of o.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = parseName(text, Unknown)
	return err
}

// MarshalText writes the name of c.
func (c RequestClass) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads the name of a request class.
func (c *RequestClass) UnmarshalText(text []byte) (err error) {
	*c, err = parseName(text, NotRepeated)
	return err
}

// MarshalText writes the name of s.
func (s PartState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a part state.
func (s *PartState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, PartStopped)
	return err
}

// MarshalText writes the name of s.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a member state.
func (s *MemberState) UnmarshalText(text []byte) (err error) {
	*s, err = parseName(text, Leaving)
	return err
}
