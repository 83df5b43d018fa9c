package worker

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
)

// command is the parsed command of a part: the part works for a duration and then succeeds or, if fails is set, fails.
type command struct {
	duration time.Duration
	fails    bool
}

// parseCommand parses the command "run <duration>" or "fail <duration>". It ignores further words.
func parseCommand(text string) (command, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 || (fields[0] != "run" && fields[0] != "fail") {
		return command{}, fault.New(fault.Invalid, "read command", "", "%q is neither run <duration> nor fail <duration>", text)
	}
	work, err := time.ParseDuration(fields[1])
	if err != nil {
		return command{}, fault.Wrap(err, fault.Invalid, "read command", "")
	}
	return command{duration: work, fails: fields[0] == "fail"}, nil
}

// checkpointName returns the name of a checkpoint of a part. Its last element is the completed work in milliseconds.
func checkpointName(worker ident.Worker, part wire.Part, done time.Duration) string {
	elements := []string{
		string(part.Job),
		strconv.Itoa(int(part.Attempt)),
		string(worker),
		strconv.FormatInt(done.Milliseconds(), 10),
	}
	return strings.Join(elements, "/")
}

// checkpointWork returns the completed work that the name of a checkpoint contains; 0 for an empty name.
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
