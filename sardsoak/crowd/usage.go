package crowd

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
)

// Usage is what a process holds at a moment.
type Usage struct {
	// ResidentBytes is the resident memory of the process.
	ResidentBytes int64
	// UnreadBytes is what has arrived on its connections and was not read.
	UnreadBytes int64
	Descriptors int
}

// MemoryBytes is what counts as memory of the process.
func (u Usage) MemoryBytes() int64 {
	return u.ResidentBytes + u.UnreadBytes
}

// String returns the usage for messages.
func (u Usage) String() string {
	return fmt.Sprintf("%d MiB resident, %d MiB unread, %d descriptors", u.ResidentBytes>>20, u.UnreadBytes>>20, u.Descriptors)
}

// ReadUsage returns what a process holds that listens at the given addresses.
func ReadUsage(pid int, listeners ...netip.AddrPort) (Usage, error) {
	resident, err := residentBytes(pid)
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, fault.Wrap(err, fault.Internal, "read usage", strconv.Itoa(pid))
	}
	unread, err := unreadBytes(pid, listeners)
	return Usage{ResidentBytes: resident, UnreadBytes: unread, Descriptors: len(descriptors)}, err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "read usage", strconv.Itoa(pid))
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fault.New(fault.Internal, "read usage", strconv.Itoa(pid), "no sizes in %q", text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// Columns of /proc/net/tcp: the local address, and the lengths of the send and receive queues as tx:rx.
const (
	localAddressColumn = 1
	queuesColumn       = 4
)

// unreadBytes returns the number of bytes that wait in the receive queues of the sockets of the given listeners.
func unreadBytes(pid int, listeners []netip.AddrPort) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "read usage", strconv.Itoa(pid))
	}
	local := map[string]bool{}
	for _, l := range listeners {
		local[procAddress(l)] = true
	}
	var total int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesColumn || !local[fields[localAddressColumn]] || fields[3] == listenState {
			continue
		}
		_, rx, _ := strings.Cut(fields[queuesColumn], ":")
		n, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			return 0, fault.Wrap(err, fault.Internal, "read usage", strconv.Itoa(pid))
		}
		total += n
	}
	return total, nil
}

// listenState is the state of a listening socket in /proc/net/tcp. Its receive queue counts connections, not bytes.
const listenState = "0A"

// procAddress returns an IPv4 address as /proc/net/tcp shows it: the address in the machine's byte order.
func procAddress(a netip.AddrPort) string {
	ip := a.Addr().As4()
	var native [4]byte
	binary.NativeEndian.PutUint32(native[:], binary.BigEndian.Uint32(ip[:]))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(native[:])), a.Port())
}

// Watch is the largest usage of a process while it is watched.
type Watch struct {
	group errgroup.Group
	stop  context.CancelFunc
	// peakMemory is the usage with the most memory, peakDescriptors that with the most descriptors.
	peakMemory, peakDescriptors Usage
}

// watchInterval is the time between two readings of the usage.
const watchInterval = 20 * time.Millisecond

// StartWatch watches what a process holds that listens at the given addresses.
func StartWatch(pid int, listeners ...netip.AddrPort) *Watch {
	ctx, stop := context.WithCancel(context.Background())
	w := &Watch{stop: stop}
	w.group.Go(func() error {
		for clock.Sleep(ctx, watchInterval) {
			u, err := ReadUsage(pid, listeners...)
			if err != nil {
				return err
			}
			w.add(u)
		}
		return nil
	})
	return w
}

// add takes a reading into account.
func (w *Watch) add(u Usage) {
	if u.MemoryBytes() > w.peakMemory.MemoryBytes() {
		w.peakMemory = u
	}
	if u.Descriptors > w.peakDescriptors.Descriptors {
		w.peakDescriptors = u
	}
}

// Stop ends the watch and returns the usages with the most memory and the most descriptors. It fails if the process could
// not be read, as it had ended.
func (w *Watch) Stop() (memory, descriptors Usage, err error) {
	w.stop()
	err = w.group.Wait()
	return w.peakMemory, w.peakDescriptors, err
}
