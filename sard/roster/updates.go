package roster

import (
	"maps"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// maxUpdatesPerHeartbeat limits the queued membership updates in one heartbeat.
	maxUpdatesPerHeartbeat = 16
	// sendsPerUpdate is the number of periods in which a membership update is sent to all monitors of this instance.
	sendsPerUpdate = 3
)

// pendingUpdate is a membership update and the number of periods in which it is still to be sent.
type pendingUpdate struct {
	member    Member
	sendsLeft int
}

// updateQueue holds the latest membership update of each member that is still being disseminated.
type updateQueue map[ident.Instance]*pendingUpdate

// add queues a membership update, and replaces an earlier one of the same member.
func (u updateQueue) add(m Member) {
	u[m.Name] = &pendingUpdate{member: m, sendsLeft: sendsPerUpdate}
}

// takeNext returns the membership updates for the heartbeats of one period, at most maxUpdatesPerHeartbeat. It takes
// those that were sent least often first, and counts them as sent.
func (u updateQueue) takeNext() []Member {
	pending := slices.SortedFunc(maps.Values(u), func(a, b *pendingUpdate) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		if a.member.Name < b.member.Name {
			return -1
		}
		return 1
	})
	var members []Member
	for _, update := range pending[:min(len(pending), maxUpdatesPerHeartbeat)] {
		members = append(members, update.member)
		update.sendsLeft--
		if update.sendsLeft <= 0 {
			delete(u, update.member.Name)
		}
	}
	return members
}
