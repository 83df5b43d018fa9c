package load

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"
)

// WaitingRequests is the number of queued requests in MeasureWaitingMemory.
const WaitingRequests = 2000

// waitingBodyBytes is the body size of each queued request.
const waitingBodyBytes = 1 << 10

// enqueueTime is how long MeasureWaitingMemory waits for all requests to be queued.
const enqueueTime = 2 * time.Second

// MeasureWaitingMemory returns the memory (heap and stacks in use, in bytes) that an instance needs for 2,000 queued
// requests, including the callers' sockets.
func MeasureWaitingMemory() (int64, error) {
	release := make(chan struct{})
	backends, err := startBackends(1, 0, 0, func(_ int, b *backend) { b.release = release })
	if err != nil {
		return 0, err
	}
	defer backends.stop()
	defer close(release)
	in := startInstances(1, backends.serverList(), newDocument(2*WaitingRequests, time.Minute))
	defer in.stop()
	api, address, err := startAPIServer(in.routers[0])
	if err != nil {
		return 0, err
	}
	defer api.stop()
	before := memoryInUse()
	request := fmt.Sprintf("POST /r%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		requestPath, bearerToken, waitingBodyBytes, strings.Repeat("x", waitingBodyBytes))
	for range WaitingRequests + slotsPerBackend {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		if _, err := conn.Write([]byte(request)); err != nil {
			return 0, err
		}
	}
	time.Sleep(enqueueTime)
	return memoryInUse() - before, nil
}

// memoryInUse returns the heap and stack memory in use, in bytes, after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
