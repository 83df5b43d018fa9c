// Package procs starts programs as processes, signals them and tells when they end. It ends only what it started.
package procs

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
)

// outputBuffer is how much output is read at once, in bytes.
const outputBuffer = 4 << 10

// Config describes a process.
type Config struct {
	// Program and Args are what is run.
	Program string
	Args    []string
	// Env are variables besides PATH and HOME.
	Env []string
	// LogPath is the file to which its output is appended.
	LogPath string
	// Group runs what waits for its end.
	Group *errgroup.Group
}

// Process is a running program.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// stuck is held while nobody reads the process's output.
	stuck sync.Mutex
	// killed and stopped tell what was sent to the process.
	killed, stopped atomic.Bool
	started         time.Time
	err             error
}

// Start starts a process.
func Start(config Config) (*Process, error) {
	const step = "start process"
	log, err := os.OpenFile(config.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, step, config.LogPath)
	}
	output, input, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, step, config.Program), log.Close())
	}
	cmd := exec.Command(config.Program, config.Args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, config.Env...)
	cmd.Stdout, cmd.Stderr = input, input
	p := &Process{cmd: cmd, ended: make(chan struct{}), started: time.Now()}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, step, config.Program), input.Close(), output.Close(), log.Close())
	}
	config.Group.Go(func() error {
		p.err = cmd.Wait()
		close(p.ended)
		return input.Close()
	})
	config.Group.Go(func() error { return errors.Join(p.copyOutput(log, output), output.Close(), log.Close()) })
	return p, nil
}

// copyOutput copies the process's output to its log until the process has ended.
func (p *Process) copyOutput(log io.Writer, output io.Reader) error {
	buffer := make([]byte, outputBuffer)
	for {
		n, err := output.Read(buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Internal, "read output", p.cmd.Path)
		}
		p.stuck.Lock()
		_, err = log.Write(buffer[:n])
		p.stuck.Unlock()
		if err != nil {
			return fault.Wrap(err, fault.Internal, "write log", p.cmd.Path)
		}
	}
}

// BlockOutput has nobody read the process's output for a span.
func (p *Process) BlockOutput(span time.Duration) {
	p.stuck.Lock()
	defer p.stuck.Unlock()
	time.Sleep(span)
}

// Kill ends the process by force.
func (p *Process) Kill() {
	p.killed.Store(true)
	p.signal(syscall.SIGKILL)
}

// Stop asks the process to end.
func (p *Process) Stop() {
	p.stopped.Store(true)
	p.signal(syscall.SIGTERM)
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Hangup tells the process that its settings have changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// signal sends a signal; one that the process does not get has ended.
func (p *Process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Done is closed once the process is gone.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Stopping tells whether the process was asked to end and was not killed.
func (p *Process) Stopping() bool {
	return p.stopped.Load() && !p.killed.Load()
}

// Err returns why an ended process counts as failed: it ended by itself, or not well after it was asked to. A
// process that was killed has not failed.
func (p *Process) Err() error {
	switch {
	case !p.Exited() || p.killed.Load():
		return nil
	case !p.stopped.Load():
		return fault.New(fault.Internal, "run process", p.cmd.Path, "ended by itself after %v: %v", time.Since(p.started), p.err)
	case p.err != nil:
		return fault.Wrap(p.err, fault.Internal, "stop process", p.cmd.Path)
	}
	return nil
}
