package roster

import (
	"maps"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// maxNews bounds the news in one heartbeat.
	maxNews = 16
	// newsRounds is the number of rounds in which each piece of news is sent to all monitors.
	newsRounds = 3
)

// rumour is a piece of news and how many heartbeats still carry it.
type rumour struct {
	member Member
	left   int
}

// news holds the changes of membership that are being passed on.
type news map[ident.Instance]*rumour

// add starts passing on a change.
func (s news) add(m Member) {
	s[m.Name] = &rumour{member: m, left: newsRounds}
}

// take returns the news for one heartbeat, the least told first, and counts them as told.
func (s news) take() []Member {
	all := slices.SortedFunc(maps.Values(s), func(a, b *rumour) int {
		if a.left != b.left {
			return b.left - a.left
		}
		if a.member.Name < b.member.Name {
			return -1
		}
		return 1
	})
	var told []Member
	for _, r := range all[:min(len(all), maxNews)] {
		told = append(told, r.member)
		r.left--
		if r.left <= 0 {
			delete(s, r.member.Name)
		}
	}
	return told
}
