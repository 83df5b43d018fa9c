package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// newMemberships returns the membership of count live instances, as each of them sees it.
func newMemberships(count int) []*membership {
	var names []ident.Instance
	for i := range count {
		names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	var all []*membership
	for _, name := range names {
		m := &membership{}
		m.update(name, names, time.Unix(1, 0))
		all = append(all, m)
	}
	return all
}

// TestConnectionShares checks that the instances' connection shares and owned slots add up, and that no share grows
// when an instance joins.
func TestConnectionShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		s := fleet.Server{
			Name:        ident.Server(rapid.StringMatching("[a-z]{1,8}").Draw(t, "server")),
			Slots:       rapid.IntRange(1, 16).Draw(t, "slots"),
			Connections: rapid.IntRange(1, 120).Draw(t, "connections"),
		}
		before, after := newMemberships(count), newMemberships(count+1)
		connections, slots := 0, 0
		for i, m := range before {
			connections += m.connectionShare(s)
			slots += m.ownedSlots(s)
			if after[i].connectionShare(s) > m.connectionShare(s) {
				t.Fatalf("the share of %s grew from %d to %d on a join", m.self, m.connectionShare(s), after[i].connectionShare(s))
			}
		}
		if connections != max(s.Connections-s.Slots, 0) || slots != s.Slots {
			t.Fatalf("shares add up to %d connections and %d slots", connections, slots)
		}
	})
}
