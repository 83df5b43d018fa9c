package route

import (
	"testing"

	"github.com/sardineline/sardineline/sard/ident"
)

// TestQueueFairness checks that accounts with waiting requests are served in proportion to their weights.
func TestQueueFairness(t *testing.T) {
	tests := []struct {
		name           string
		weightA        int
		waitingA, want int
	}{
		{"equal weights", 1, 1000, 50},
		{"three to one", 3, 1000, 75},
		{"short queue leaves its turns to others", 3, 10, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := fairQueue{accounts: map[ident.Account]*accountQueue{}}
			q.configure("a", tt.weightA, 1000)
			q.configure("b", 1, 1000)
			for range 1000 {
				q.push(&waiter{account: "b"}, false)
			}
			for range tt.waitingA {
				q.push(&waiter{account: "a"}, false)
			}
			served := 0
			for range 100 {
				if q.dequeue(q.next(nil)).account == "a" {
					served++
				}
			}
			if served != tt.want {
				t.Errorf("account got %d of 100 turns, want %d", served, tt.want)
			}
		})
	}
}
