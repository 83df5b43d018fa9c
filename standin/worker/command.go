package worker

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
)

// command is what a part does: it works for a time, then succeeds or fails.
type command struct {
	work time.Duration
	fail bool
}

// parseCommand reads "run <duration>" or "fail <duration>"; further words are ignored.
func parseCommand(text string) (command, error) {
	words := strings.Fields(text)
	if len(words) < 2 || (words[0] != "run" && words[0] != "fail") {
		return command{}, fault.New(fault.Invalid, "read command", "", "%q is neither run <duration> nor fail <duration>", text)
	}
	work, err := time.ParseDuration(words[1])
	if err != nil {
		return command{}, fault.Wrap(err, fault.Invalid, "read command", "")
	}
	return command{work: work, fail: words[0] == "fail"}, nil
}

// checkpointName names a checkpoint; its last element is the work done in milliseconds.
func checkpointName(at ident.Worker, part wire.Part, done time.Duration) string {
	words := []string{
		string(part.Job),
		strconv.Itoa(int(part.Attempt)),
		string(at),
		strconv.FormatInt(done.Milliseconds(), 10),
	}
	return strings.Join(words, "/")
}

// checkpointWork returns the work that a checkpoint holds; 0 for an empty name.
func checkpointWork(name string) (time.Duration, error) {
	if name == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(name[strings.LastIndex(name, "/")+1:], 10, 64)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "read checkpoint", "")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
