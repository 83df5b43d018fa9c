package pool

import (
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// maxCrashesOfHost is how often the crashes of one host's workers count against a part if it is not known whether its attempts
// had started. It is below crashLimitPossible: a worker that crashes again and again before it tells of a start may well do
// so by itself, so that it takes other hosts too to give a job up.
const maxCrashesOfHost = 3

// crashTally counts the crashes of workers that a part may have caused.
type crashTally struct {
	// likely is the number of crashes right after an attempt had started.
	likely int
	// possibleHosts holds the host of each other crash that counts.
	possibleHosts []ident.Host
	// last is the latest crash that was counted.
	last work.Crash
}

// count returns the number of counted crashes.
func (t *crashTally) count() int {
	return t.likely + t.possible()
}

// possible returns the number of counted crashes that are only possible.
func (t *crashTally) possible() int {
	return len(t.possibleHosts)
}

// suspicious reports whether the part is likely to be the cause of the crashes.
func (t *crashTally) suspicious() bool {
	return t.likely > 0 || t.possible() >= isolationPossible
}

// tooMany reports whether the part has crashed so many workers that its job fails.
func (t *crashTally) tooMany() bool {
	return t.likely >= crashLimit || t.count() >= crashLimitPossible
}

// add counts the crash of a worker on a host. It returns false if the crash does not count.
func (t *crashTally) add(crash work.Crash, host ident.Host, evidence CrashEvidence) bool {
	if !follows(crash, t.last) {
		return false
	}
	if evidence == LikelyCrash {
		t.likely++
	} else if !t.addPossible(host) {
		return false
	}
	t.last = crash
	return true
}

// addPossible counts a crash that is only possible, unless enough of the host count already.
func (t *crashTally) addPossible(host ident.Host) bool {
	ofHost := 0
	for _, counted := range t.possibleHosts {
		if counted == host {
			ofHost++
		}
	}
	if ofHost >= maxCrashesOfHost {
		return false
	}
	t.possibleHosts = append(t.possibleHosts, host)
	return true
}

// follows reports whether a crash is another one than the latest that was counted for the part.
func follows(crash, last work.Crash) bool {
	if crash.Attempt != last.Attempt {
		return crash.Attempt > last.Attempt
	}
	return crash.Process.Worker == last.Process.Worker && crash.Process.StartedMs > last.Process.StartedMs
}
