package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// serviceName names the service of all executors, and host, prefix and key are what clients use.
	serviceName = "desk"
	host        = "desk.example"
	prefix      = "/jobs/"
	key         = "key-1"
	// deadline is how long clients wait for an answer.
	deadline = 3 * time.Second
	// limit is how long a case may take.
	limit = 110 * time.Second
)

// settingsText is a settings file, with the figures of the users' small deployments.
const settingsText = `node = "front-z1-%[1]d"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
port_range = [%[4]d,%[4]d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "rpc"
[zones]
z1 = "r"
[listen]
front = "127.0.0.1:%[2]d"
ready = "127.0.0.1:%[3]d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
reclaim_ms = 2900
[platform]
address = "%[5]s"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
`

// configText is the operator's configuration.
const configText = `{"version":3,"routes":[{"name":"r-jobs","host":"` + host + `","prefix":"` + prefix + `","type":"non_idempotent","timeout_ms":3000,` +
	`"target_duration_ms":1000,"priority":1,"service":"` + serviceName + `","attempts":3,"stretch":3.0,"public":false}],` +
	`"services":[{"name":"` + serviceName + `","health_path":"/health","enforces_capacity":false}],` +
	`"tenants":[{"name":"tenant-1","api_keys":["` + key + `"],"guaranteed":{"gpu":8}}],"limits":{"max_body_bytes":262144}}`

// rig holds all that a case has started.
type rig struct {
	folder   string
	root     string
	temp     string
	trouble  bool
	record   *record
	store    *tableStore
	registry string
	servers  []*http.Server
	// ports holds the ports that freePort has returned.
	ports map[int]bool
	// instances and executors are the processes, by number from 1.
	instances []*instance
	executors []*executorProcess
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	events []seenEvent
}

// seenEvent is an event of an executor as the rig has seen it.
type seenEvent struct {
	event
	at       time.Time
	executor string
	process  int
}

// instance is an instance of the product.
type instance struct {
	number       int
	front, ready string
	cmd          *exec.Cmd
	log          *os.File
	ended        chan struct{}
}

// executorProcess is an executor, which may be started again.
type executorProcess struct {
	id, machine, kind string
	listen            string
	// proxy is what it is reached by; nil if it is reached directly.
	proxy   *proxy
	process int
	cmd     *exec.Cmd
	ended   chan struct{}
}

// newRig prepares a case.
func newRig(folder string) (*rig, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{folder: folder, root: filepath.Dir(filepath.Dir(folder)), temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: rec, store: newTableStore(), ports: map[int]bool{}}
	r.ctx, r.cancel = context.WithTimeout(context.Background(), limit)
	if r.registry, err = r.serve(r.store.registry()); err != nil {
		return nil, err
	}
	r.store.put(rowKey{Table: "op", Key: "config"}, []byte(configText))
	go func() {
		for r.sleep(heartbeat / 3) {
			r.store.dropSilent()
		}
	}()
	rec.notef("case", "disruption: %v", r.trouble)
	return r, nil
}

// serve serves a handler on loopback and returns its address.
func (r *rig) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

const (
	// firstPort and portCount are the ports that processes are told to listen on. They lie below those that the system gives
	// to outgoing connections, which could take one between its choice and its use.
	firstPort, portCount = 15000, 15000
	// portTries is how many ports are tried.
	portTries = 100
)

// freePort returns a port that nothing listens on and that was not returned before.
func (r *rig) freePort() (int, error) {
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		if r.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		r.ports[port] = true
		return port, listener.Close()
	}
	return 0, fmt.Errorf("no free port in %d tries", portTries)
}

// sleep waits, and returns false when the case has taken too long.
func (r *rig) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// endOnSignal ends the case and all that it has started when it is told to end.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitCannotRun)
	}()
}

// close ends all processes that the case has started and removes its temporary folder.
func (r *rig) close() {
	for _, i := range r.instances {
		i.signal(syscall.SIGKILL)
	}
	for _, e := range r.executors {
		e.kill()
	}
	for _, i := range r.instances {
		<-i.ended
		_ = i.log.Close()
	}
	r.cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(r.temp, keep)
		return
	}
	_ = os.RemoveAll(r.temp)
}

// addInstance writes the settings of an instance and starts it.
func (r *rig) addInstance() error {
	number := len(r.instances) + 1
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = r.freePort(); err != nil {
			return err
		}
	}
	storeAddress, err := r.serve(r.store.handler(number))
	if err != nil {
		return err
	}
	settings := fmt.Sprintf(settingsText, number, ports[0], ports[1], ports[2], storeAddress)
	if err := os.WriteFile(r.settingsPath(number), []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.temp, fmt.Sprintf("front-%d.log", number)))
	if err != nil {
		return err
	}
	i := &instance{number: number, front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]), log: log}
	r.instances = append(r.instances, i)
	return r.startInstance(i)
}

// settingsPath returns the path of an instance's settings file.
func (r *rig) settingsPath(number int) string {
	return filepath.Join(r.temp, fmt.Sprintf("node-%d.toml", number))
}

// startInstance starts an instance with the command of the deploy file.
func (r *rig) startInstance(i *instance) error {
	words := strings.Fields("target/sardined platform --log.json --pool.run-times --pool.store-check --pool.admission --pool.worker-speeds")
	i.cmd = exec.Command(words[0], words[1:]...) //nolint:gosec // The command is that of the deploy file.
	i.cmd.Dir = r.root
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.temp, "SARDINELINE_NODE_FILE=" + r.settingsPath(i.number)}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(i.cmd, i.ended)
	r.record.notef("front-"+fmt.Sprint(i.number), "started, process %d", i.cmd.Process.Pid)
	return nil
}

// signal sends a signal to an instance that runs.
func (i *instance) signal(s syscall.Signal) {
	select {
	case <-i.ended:
	default:
		_ = i.cmd.Process.Signal(s)
	}
}

// addExecutor starts an executor behind a proxy.
func (r *rig) addExecutor(kind string) (*executorProcess, error) {
	e, err := r.newExecutor(kind)
	if err != nil {
		return nil, err
	}
	if e.proxy, err = r.newProxy("proxy-"+e.id, e.listen); err != nil {
		return nil, err
	}
	return e, r.startExecutor(e, 0)
}

// addDirectExecutor starts an executor that is reached directly, so that connections to it are refused while it is down.
func (r *rig) addDirectExecutor(kind string) (*executorProcess, error) {
	e, err := r.newExecutor(kind)
	if err != nil {
		return nil, err
	}
	return e, r.startExecutor(e, 0)
}

// newExecutor returns an executor that has not been started.
func (r *rig) newExecutor(kind string) (*executorProcess, error) {
	number := len(r.executors) + 1
	port, err := r.freePort()
	if err != nil {
		return nil, err
	}
	e := &executorProcess{id: fmt.Sprintf("i-%d", number), machine: fmt.Sprintf("m-%d", number), kind: kind, listen: fmt.Sprintf("127.0.0.1:%d", port)}
	r.executors = append(r.executors, e)
	return e, nil
}

// startExecutor starts an executor's process, which registers after firstBeat.
func (r *rig) startExecutor(e *executorProcess, firstBeat time.Duration) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	e.process++
	address := e.listen
	if e.proxy != nil {
		address = e.proxy.address
	}
	e.cmd = exec.Command(program, "executor", "-listen", e.listen, "-address", address, "-id", e.id, "-machine", e.machine, //nolint:gosec // This program.
		"-kind", e.kind, "-rack", "r1", "-registry", r.registry, "-first-beat", firstBeat.String())
	e.cmd.Stderr = os.Stderr
	output, err := e.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go r.follow(e.id, e.process, output, e.cmd, e.ended)
	return nil
}

// follow records the events of an executor's process until it ends.
func (r *rig) follow(id string, process int, output io.Reader, cmd *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var ev event
		if json.Unmarshal(lines.Bytes(), &ev) != nil {
			continue
		}
		r.mu.Lock()
		r.events = append(r.events, seenEvent{event: ev, at: time.Now(), executor: id, process: process})
		r.mu.Unlock()
		r.record.notef("executor "+id, "process %d: %s", process, ev.text())
	}
	_ = cmd.Wait()
}

// text describes an event.
func (ev event) text() string {
	text := ev.What
	if ev.Task != "" {
		text += fmt.Sprintf(" %s run %d", ev.Task, ev.Run)
	}
	if ev.Number != 0 {
		text += fmt.Sprintf(" as end %d", ev.Number)
	}
	if ev.How != "" {
		text += " " + ev.How
	}
	if ev.Fence != 0 {
		text += fmt.Sprintf(" (fence %d)", ev.Fence)
	}
	return text
}

// kill kills an executor's process.
func (e *executorProcess) kill() {
	_ = e.cmd.Process.Kill()
	<-e.ended
}

// seen returns the events so far for which keep returns true.
func (r *rig) seen(keep func(seenEvent) bool) []seenEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []seenEvent
	for _, ev := range r.events {
		if keep(ev) {
			found = append(found, ev)
		}
	}
	return found
}

// await waits until a condition holds, at most for a time.
func (r *rig) await(what string, most time.Duration, holds func() bool) error {
	for end := time.Now().Add(most); !holds(); {
		if time.Now().After(end) || !r.sleep(10*time.Millisecond) {
			return fmt.Errorf("not seen in %v: %s", most, what)
		}
	}
	return nil
}

// start starts instances, and waits until they are ready and one of them leads.
func (r *rig) start(instances int) error {
	for range instances {
		if err := r.addInstance(); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := r.awaitReady(i); err != nil {
			return err
		}
	}
	return r.await("an instance that leads", 10*time.Second, func() bool { return r.store.leader() > 0 })
}

// awaitReady waits until an instance is ready.
func (r *rig) awaitReady(i *instance) error {
	return r.await(fmt.Sprintf("front-%d is ready", i.number), 10*time.Second, func() bool {
		resp, err := http.Get("http://" + i.ready + "/-/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// step is a step of a job that a client hands in.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	GPU         int    `json:"gpu,omitempty"`
	EstimatedMs int    `json:"estimated_ms"`
	After       []int  `json:"after,omitempty"`
	Requires    string `json:"requires,omitempty"`
}

// call sends a client's call to an instance. It returns the status and the body; status 0 if there was no answer.
func (r *rig) call(i *instance, method, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(r.ctx, deadline)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+prefix+id, content)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// submit hands a job in, at each instance in turn until one accepts it.
func (r *rig) submit(id, payload string, steps ...step) error {
	body := map[string]any{"spec": payload, "steps": steps}
	for try := range 5 {
		i := r.instances[try%len(r.instances)]
		status, answer := r.call(i, http.MethodPost, id, body)
		r.record.notef("client", "POST %s at front-%d: %d %s", id, i.number, status, answer)
		if status == http.StatusOK {
			return nil
		}
		r.sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job, at each instance in turn until one answers.
func (r *rig) state(id string) string {
	for _, i := range r.instances {
		status, answer := r.call(i, http.MethodGet, id, nil)
		if status == http.StatusOK {
			var body struct{ State string }
			if json.Unmarshal([]byte(answer), &body) == nil {
				return body.State
			}
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

// awaitState waits until a job is in a state.
func (r *rig) awaitState(id, want string, most time.Duration) error {
	last := ""
	err := r.await("job "+id+" is "+want, most, func() bool {
		if now := r.state(id); now != last {
			last = now
			r.record.notef("client", "GET %s: %s", id, now)
		}
		return last == want
	})
	return err
}

// task returns the name of a work unit of a job without occurrences.
func task(id string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, step, index) }

// decode decodes JSON.
func decode(data []byte, into any) error { return json.Unmarshal(data, into) }
