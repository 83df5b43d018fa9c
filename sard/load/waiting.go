package load

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"
)

// WaitingRequests is how many requests wait while memory is measured.
const WaitingRequests = 2000

// waitingBody is the size of their bodies in bytes.
const waitingBody = 1 << 10

// settleTime is how long the measurement waits until all requests wait.
const settleTime = 2 * time.Second

// MeasureWaitingMemory returns the bytes of memory (heap and stacks in use) that an instance needs for 2,000 waiting
// requests, their callers' sockets included.
func MeasureWaitingMemory() (int64, error) {
	hold := make(chan struct{})
	f, err := startFarm(1, 0, 0, func(_ int, b *backend) { b.hold = hold })
	if err != nil {
		return 0, err
	}
	defer f.stop()
	defer close(hold)
	in := startInstances(1, f.entries(), documentOf(2*WaitingRequests, time.Minute))
	defer in.stop()
	api, address, err := startAPI(in.routers[0])
	if err != nil {
		return 0, err
	}
	defer api.stop()
	before := inUse()
	request := fmt.Sprintf("POST /r%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, token, waitingBody, strings.Repeat("x", waitingBody))
	for range WaitingRequests + slots {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		if _, err := conn.Write([]byte(request)); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	return inUse() - before, nil
}

func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
