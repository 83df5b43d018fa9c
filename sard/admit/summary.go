package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// format is the version of the encoding of a Summary. Summaries of other versions are not read.
const format = 1

// Summary says how much work a pool still has to do. The holder of the scheduler lease publishes it while work waits.
type Summary struct {
	Format int
	// Epoch is the epoch of the holder that wrote the summary.
	Epoch ident.Epoch
	// Over is set in the last summary of a time of pressure.
	Over     bool          `cbor:",omitempty"`
	Services []ServiceLoad `cbor:",omitempty"`
}

// ServiceLoad is the work of the workers of one service.
type ServiceLoad struct {
	Service work.Service
	// Capacity is the capacity of all workers that accept work, and Largest that of the largest of them.
	Capacity, Largest work.Resources
	// Running is the rest of the work that runs, and TypicalRun the mean run time of the groups that wait.
	Running    Amount
	TypicalRun time.Duration
	// Waiting holds the work that waits, by client account and priority.
	Waiting []Backlog `cbor:",omitempty"`
}

// Backlog is the waiting work of one client account and priority.
type Backlog struct {
	Account  ident.Account
	Priority work.Priority
	// Parts is the number of its parts.
	Parts int
	// BySlack holds the work by the slack of its jobs, as slackClass classifies it. It leaves out jobs that will be late.
	BySlack [slackClasses]Amount
}

// Amount is work: each resource, in the unit that it has in work.Resources, times the seconds for which it is held.
type Amount struct {
	_                         struct{} `cbor:",toarray"`
	CPU, Memory, Accelerators float32
}

// NewAmount returns the work of holding resources for a time; none if it is negative.
func NewAmount(held work.Resources, d time.Duration) Amount {
	seconds := float32(max(0, d.Seconds()))
	return Amount{CPU: float32(held.CPU) * seconds, Memory: float32(held.Memory) * seconds, Accelerators: float32(held.Accelerators) * seconds}
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Times returns n times a.
func (a Amount) Times(n int) Amount {
	f := float32(n)
	return Amount{CPU: a.CPU * f, Memory: a.Memory * f, Accelerators: a.Accelerators * f}
}

// valid reports whether no field is negative or not a number.
func (a Amount) valid() bool {
	for _, f := range []float32{a.CPU, a.Memory, a.Accelerators} {
		if !(f >= 0) || math.IsInf(float64(f), 0) {
			return false
		}
	}
	return true
}

// least returns the time in which workers of a capacity can do the work if nothing of the capacity stays unused.
func (a Amount) least(capacity work.Resources) time.Duration {
	seconds := max(
		ratio(a.CPU, int64(capacity.CPU)),
		ratio(a.Memory, int64(capacity.Memory)),
		ratio(a.Accelerators, int64(capacity.Accelerators)),
	)
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// ratio returns the time in seconds in which a capacity does an amount of work; 0 for a resource that there is not.
func ratio(amount float32, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(amount) / float64(capacity)
}

const (
	// slackClasses is the number of classes of slack. Each class reaches to twice the slack of the one before; the last has
	// no limit.
	slackClasses = 8
	// firstSlack is the limit of the first class of slack.
	firstSlack = time.Second
	// maxWait limits expected waits.
	maxWait = time.Hour
)

// slackClass returns the class of a slack that is not negative.
func slackClass(slack time.Duration) int {
	class := 0
	for limit := firstSlack; slack > limit && class < slackClasses-1; limit *= 2 {
		class++
	}
	return class
}

// Add adds the work of a group to the backlog of its account and priority.
func (l *ServiceLoad) Add(account ident.Account, priority work.Priority, slack time.Duration, parts int, amount Amount) {
	b := l.backlog(account, priority)
	b.Parts += parts
	if slack >= 0 {
		class := slackClass(slack)
		b.BySlack[class] = b.BySlack[class].Plus(amount)
	}
}

// backlog returns the backlog of an account and priority, and creates it if there is none.
func (l *ServiceLoad) backlog(account ident.Account, priority work.Priority) *Backlog {
	for i := range l.Waiting {
		if b := &l.Waiting[i]; b.Account == account && b.Priority == priority {
			return b
		}
	}
	l.Waiting = append(l.Waiting, Backlog{Account: account, Priority: priority})
	return &l.Waiting[len(l.Waiting)-1]
}

// minPressure is the wait of work that has any slack from which on there is pressure.
const minPressure = 2 * time.Second

// Pressure reports whether work of any service has to wait so long that a summary is of use.
func (s *Summary) Pressure() bool {
	for i := range s.Services {
		if s.Services[i].LongestWait() >= minPressure {
			return true
		}
	}
	return false
}

// LongestWait returns the least time that a job of a new account without a deadline would wait.
func (l *ServiceLoad) LongestWait() time.Duration {
	ahead := l.Running
	for i := range l.Waiting {
		for _, amount := range l.Waiting[i].BySlack {
			ahead = ahead.Plus(amount)
		}
	}
	return max(0, ahead.least(l.Capacity)-l.TypicalRun)
}

// maxBytes limits the size of a summary, which is written together with a renewal of the scheduler lease.
const maxBytes = 48 << 10

// Encode encodes a summary as the value of a row. If it is too large, it drops the smaller backlogs, so that the waits that
// follow from it are too short rather than too long.
func (s *Summary) Encode() ([]byte, error) {
	s.Format = format
	for {
		value, err := work.Encode(s)
		if err != nil || len(value) <= maxBytes {
			return value, err
		}
		if !s.halve() {
			return nil, fault.New(fault.Invalid, "write load summary", "", "%d services need %d bytes", len(s.Services), len(value))
		}
	}
}

// halve drops the half of the backlogs of each service with the fewest parts. It returns false if there are none.
func (s *Summary) halve() bool {
	halved := false
	for i := range s.Services {
		l := &s.Services[i]
		halved = halved || len(l.Waiting) > 0
		slices.SortStableFunc(l.Waiting, func(a, b Backlog) int { return cmp.Compare(b.Parts, a.Parts) })
		l.Waiting = l.Waiting[:len(l.Waiting)/2]
	}
	return halved
}

// DecodeSummary decodes the value of a row. It fails for summaries of another format and for impossible ones.
func DecodeSummary(value []byte) (*Summary, error) {
	const step = "read load summary"
	var version struct{ Format int }
	if err := work.Decode(value, &version); err != nil {
		return nil, err
	}
	if version.Format != format {
		return nil, fault.New(fault.Invalid, step, "store", "format %d is not %d", version.Format, format)
	}
	s := &Summary{}
	if err := work.Decode(value, s); err != nil {
		return nil, err
	}
	for i := range s.Services {
		if !s.Services[i].valid() {
			return nil, fault.New(fault.Invalid, step, "store", "impossible load of service %s", s.Services[i].Service)
		}
	}
	return s, nil
}

// valid reports whether the load may be that of real workers.
func (l *ServiceLoad) valid() bool {
	if l.Capacity.CPU < 0 || l.Capacity.Memory < 0 || l.Capacity.Accelerators < 0 || l.TypicalRun < 0 || !l.Running.valid() {
		return false
	}
	for i := range l.Waiting {
		for _, amount := range l.Waiting[i].BySlack {
			if !amount.valid() {
				return false
			}
		}
	}
	return true
}
