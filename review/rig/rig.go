// Command rig plays one case of the review: it starts stand-ins of the platform's store, of executors and of clients, and
// the project's own program as separate processes, and judges what the stand-ins have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseTimeout bounds a case, below the 120 seconds that a script may take.
const caseTimeout = 110 * time.Second

// Names of the small deployment that all cases use.
const (
	service = "reduce"
	host    = "jobs.example"
	apiKey  = "key-of-tenant-one"
	// otherKey is a key of the second tenant.
	otherKey = "key-of-tenant-two"
	// guaranteedGPU is what is guaranteed to each tenant.
	guaranteedGPU = 16
)

// cases are the cases by number. Each returns whether its rule was broken.
var cases = map[string]func(*rig) bool{}

// rig is a small deployment with stand-ins around it.
type rig struct {
	trouble   bool
	store     *Store
	storeAddr string
	instances []*instance
	executors []*Executor
	dir       string
}

// instance is a process of the project's own program.
type instance struct {
	name, front, ready string
	command            *exec.Cmd
}

var record struct {
	sync.Mutex
	file    io.Writer
	started time.Time
	// written holds the lines that are written once.
	written map[string]bool
}

// note writes a line to the record.
func note(who, format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f %-10s %s\n", time.Since(record.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// noteOnce writes a line to the record unless it was written before.
func noteOnce(who, line string) {
	record.Lock()
	written := record.written[line]
	record.written[line] = true
	record.Unlock()
	if !written {
		note(who, "%s", line)
	}
}

// must ends the case as one that could not run if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	os.Exit(run())
}

// run plays the case that the first argument names and writes its record to the file that the second one names.
func run() (code int) {
	play := cases[os.Args[1]]
	file, err := os.Create(os.Args[2])
	if err != nil || play == nil {
		_, _ = fmt.Fprintln(os.Stderr, "no such case or record:", err)
		return 2
	}
	record.file, record.started, record.written = file, time.Now(), map[string]bool{}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0"}
	r.dir, err = os.MkdirTemp("", "review")
	must(err)
	defer func() { _ = os.RemoveAll(r.dir) }()
	defer r.stopAll()
	defer func() {
		if problem := recover(); problem != nil {
			note("rig", "the case could not run: %v", problem)
			code = 2
		}
	}()
	note("rig", "case %s, with the disruption: %v", os.Args[1], r.trouble)
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if problem := recover(); problem != nil {
				note("rig", "the case could not run: %v", problem)
				result <- 2
			}
		}()
		if play(r) {
			note("rig", "RESULT: the rule was broken")
			result <- 1
			return
		}
		note("rig", "RESULT: the rule held")
		result <- 0
	}()
	select {
	case code = <-result:
	case <-time.After(caseTimeout):
		note("rig", "the case took too long")
		code = 2
	case <-told:
		note("rig", "the case was ended from outside")
		code = 2
	}
	return code
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startStore starts the store with a config of three queues and two tenants.
func (r *rig) startStore() {
	r.store = NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.storeAddr = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: r.store}).Serve(listener) }()
	queue := func(name, prefix string, priority, attempts int, stretch float64, target int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": target,
			"priority": priority, "service": service, "attempts": attempts, "stretch": stretch, "public": false,
		}
	}
	r.store.Put("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{queue("fit", "/fit/", 1, 3, 3.0, 1000), queue("alert", "/alert/", 0, 2, 1.5, 250), queue("recal", "/recal/", 2, 4, 3.0, 3000)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "enforces_capacity": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "one", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]any{"gpu": guaranteedGPU}},
			map[string]any{"name": "two", "api_keys": []string{otherKey}, "priority": 1, "guaranteed": map[string]any{"gpu": guaranteedGPU}},
		},
	})
}

// addExecutor starts an executor.
func (r *rig) addExecutor(c capacity, labels ...string) *Executor {
	e := NewExecutor(r.store, fmt.Sprintf("i-%08x", 0x7f3a0000+len(r.executors)), service, c, labels...)
	r.executors = append(r.executors, e)
	e.Up()
	return e
}

// settings is the settings file of a process, with the bounds of the site ocm-sardine.
const settings = `node = "%[1]s"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%[2]s,%[2]s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "rpc"
[listen]
front = "%[3]s"
ready = "%[4]s"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
reclaim_ms = 2700
[platform]
address = "%[5]s"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
`

// deployCommand returns the command of the deploy file.
func deployCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	must(err)
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		must(fmt.Errorf("deploy/system.toml names no command"))
	}
	return strings.Fields(string(match[1]))
}

// startInstances starts processes of the project's program and waits until they are ready.
func (r *rig) startInstances(count int) {
	words := deployCommand()
	for n := range count {
		i := &instance{name: fmt.Sprintf("front-%d", n+1), front: freeAddress(), ready: freeAddress()}
		_, port, _ := net.SplitHostPort(freeAddress())
		path := filepath.Join(r.dir, i.name+".toml")
		must(os.WriteFile(path, fmt.Appendf(nil, settings, i.name, port, i.front, i.ready, r.storeAddr), 0o600))
		logFile, err := os.Create(filepath.Join(r.dir, i.name+".log"))
		must(err)
		i.command = exec.Command(words[0], words[1:]...)
		i.command.Env = append(os.Environ(), "SARDINELINE_NODE_FILE="+path)
		i.command.Stdout, i.command.Stderr = logFile, logFile
		must(i.command.Start())
		r.instances = append(r.instances, i)
		note(i.name, "started, front %s", i.front)
	}
	for _, i := range r.instances {
		waitFor("an instance is ready", 10*time.Second, func() bool {
			resp, err := http.Get("http://" + i.ready + "/-/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// stopAll ends all processes that the case has started, and keeps their logs if KEEP_LOGS names a folder.
func (r *rig) stopAll() {
	for _, i := range r.instances {
		_ = i.command.Process.Kill()
		_ = i.command.Wait()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			data, _ := os.ReadFile(filepath.Join(r.dir, i.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, i.name+".log"), data, 0o600)
		}
	}
}

// waitFor waits until a condition holds, and ends the case if it does not in time.
func waitFor(what string, limit time.Duration, holds func() bool) {
	if !holdsWithin(limit, holds) {
		must(fmt.Errorf("waited %v in vain until %s", limit, what))
	}
}

// holdsWithin reports whether a condition holds within a time.
func holdsWithin(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// answer is what a client got.
type answer struct {
	status     int
	state      string
	pending    int
	retryAfter string
	err        error
}

// String describes an answer.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	text := fmt.Sprintf("%d %s", a.status, a.state)
	if a.retryAfter != "" {
		text += "Retry-After " + a.retryAfter
	}
	return text
}

// call sends a request of a client of the first tenant, which waits for an answer for limit.
func (i *instance) call(method, path string, body any, limit time.Duration) answer {
	return i.callAs(apiKey, method, path, body, limit)
}

// callAs sends a request with a key.
func (i *instance) callAs(key, method, path string, body any, limit time.Duration) answer {
	note("client", "%s %s to %s, waits %v", method, path, i.name, limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		must(err)
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, reader)
	must(err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	got := send(req)
	note("client", "%s %s: %v", method, path, got)
	return got
}

// send sends a request and reads the answer.
func send(req *http.Request) answer {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var parsed struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
	}
	parsed.Pending = new(int)
	_ = json.Unmarshal(data, &parsed)
	return answer{status: resp.StatusCode, state: parsed.State, pending: *parsed.Pending, retryAfter: resp.Header.Get("Retry-After")}
}

// accepted submits a job as often as the protocol allows until it is accepted.
func (r *rig) accepted(path string, job any) {
	for n := range 5 {
		if r.instances[n%len(r.instances)].call(http.MethodPost, path, job, 3*time.Second).status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
	must(fmt.Errorf("the job at %s was not accepted", path))
}

// state asks each instance for a job's state until one answers.
func (r *rig) state(path string) string {
	for n := range 6 {
		if got := r.instances[n%len(r.instances)].call(http.MethodGet, path, nil, 3*time.Second); got.status == http.StatusOK || got.status == http.StatusGone {
			return got.state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

// job returns the body of a submission with one step.
func job(spec string, step map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{step}}
}
