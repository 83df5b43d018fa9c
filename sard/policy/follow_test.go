package policy

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
)

// TestFollowerChoosesNextRead checks what is read after a successful and after a failed read.
func TestFollowerChoosesNextRead(t *testing.T) {
	tests := []struct {
		name            string
		read            readKind
		listed          bool
		changed, failed bool
		removed         bool
		want            readKind
		wantPause       time.Duration
	}{
		{name: "first read of all rows", read: readAll, changed: true, want: readPendingChanges},
		{name: "all rows, unchanged", read: readAll, listed: true, want: readPendingChanges},
		{name: "all rows, changed again", read: readAll, listed: true, changed: true, want: readAll},
		{name: "a change", read: readNextChange, listed: true, changed: true, want: readPendingChanges},
		{name: "no change", read: readNextChange, listed: true, want: readNextChange},
		{name: "no further change", read: readPendingChanges, listed: true, want: readNextChange},
		{name: "a change while another was transferred", read: readPendingChanges, listed: true, changed: true, want: readAll},
		{name: "first read of all rows fails", read: readAll, failed: true, want: readAll, wantPause: retryPeriod},
		{name: "later read of all rows fails", read: readAll, listed: true, failed: true, want: readPendingChanges, wantPause: retryPeriod},
		{name: "the wait for a change fails", read: readNextChange, listed: true, failed: true, want: readPendingChanges, wantPause: retryPeriod},
		{name: "changes can't be read", read: readPendingChanges, listed: true, failed: true, want: readAll, wantPause: listPeriod},
		{name: "changes were removed", read: readNextChange, listed: true, failed: true, removed: true, want: readAll, wantPause: listPeriod},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := follower{next: test.read}
				if test.listed {
					f.listed = clock.Now()
				}
				if test.failed {
					kind := fault.Unavailable
					if test.removed {
						kind = fault.NotFound
					}
					assert.Equal(t, f.failed(clock.Now(), fault.New(kind, "read", "store", "failed")), test.wantPause)
				} else {
					f.succeeded(clock.Now(), readResult{changed: test.changed})
				}
				assert.Equal(t, f.next, test.want)
			})
		})
	}
}
