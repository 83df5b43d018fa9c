package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// membersOf returns what each of count instances knows.
func membersOf(count int) []*members {
	var names []ident.Instance
	for i := range count {
		names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	var all []*members
	for _, name := range names {
		m := &members{}
		m.update(name, names, time.Unix(1, 0))
		all = append(all, m)
	}
	return all
}

// TestShares checks that the instances' connections and owned slots add up, and that no share grows on a join.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		s := fleet.Server{
			Name:        ident.Server(rapid.StringMatching("[a-z]{1,8}").Draw(t, "server")),
			Slots:       rapid.IntRange(1, 16).Draw(t, "slots"),
			Connections: rapid.IntRange(1, 120).Draw(t, "connections"),
		}
		before, after := membersOf(count), membersOf(count+1)
		connections, slots := 0, 0
		for i, m := range before {
			connections += m.share(s)
			slots += m.own(s)
			if after[i].share(s) > m.share(s) {
				t.Fatalf("the share of %s grew from %d to %d on a join", m.self, m.share(s), after[i].share(s))
			}
		}
		if connections != max(s.Connections-s.Slots, 0) || slots != s.Slots {
			t.Fatalf("%d connections and %d slots are shared out", connections, slots)
		}
	})
}

// TestQueueIsFair serves two accounts that always wait, in the ratio of their weights.
func TestQueueIsFair(t *testing.T) {
	tests := []struct {
		name           string
		weightA        int
		waitingA, want int
	}{
		{"equal weights", 1, 1000, 50},
		{"three to one", 3, 1000, 75},
		{"a short line leaves its turns to others", 3, 10, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queue{lines: map[ident.Account]*line{}}
			q.configure("a", tt.weightA, 1000)
			q.configure("b", 1, 1000)
			for range 1000 {
				q.push(&ticket{account: "b"}, false)
			}
			for range tt.waitingA {
				q.push(&ticket{account: "a"}, false)
			}
			served := 0
			for range 100 {
				if q.serve(q.next(nil)).account == "a" {
					served++
				}
			}
			if served != tt.want {
				t.Errorf("%d of 100 turns went to the account, not %d", served, tt.want)
			}
		})
	}
}

// TestBreaker checks when a server that fails is held off and who probes it.
func TestBreaker(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name     string
		failures int
		after    time.Duration
		class    ident.RequestClass
		want     bool
	}{
		{"a few failures", breakerFailures - 1, 0, ident.Idempotent, true},
		{"held off", breakerFailures, 0, ident.Idempotent, false},
		{"probe is due", breakerFailures, 2 * breakerMinPause, ident.Idempotent, true},
		{"not by a request that is not to be repeated", breakerFailures, 2 * breakerMinPause, ident.NotRepeated, false},
		{"but for want of others", breakerFailures, 2*breakerMinPause + breakerLastResort, ident.NotRepeated, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b breaker
			for range tt.failures {
				b.fail(start)
			}
			if got := b.allows(start.Add(tt.after), tt.class); got != tt.want {
				t.Errorf("allows: %v", got)
			}
		})
	}
	var b breaker
	for range breakerFailures {
		b.fail(start)
	}
	later := start.Add(2 * breakerMinPause)
	b.begin(later)
	if b.allows(later, ident.Idempotent) {
		t.Error("a second probe is allowed")
	}
	b.succeed()
	if !b.allows(later, ident.NotRepeated) {
		t.Error("the server is held off after a good probe")
	}
}
