// Package procs starts programs as processes, signals them and tells when they end. It ends only what it started.
package procs

import (
	"errors"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
)

// Config describes a process.
type Config struct {
	// Program and Args are what is run.
	Program string
	Args    []string
	// Env are variables besides PATH and HOME.
	Env []string
	// Log is the file to which its output is appended.
	Log string
	// Group runs what waits for its end.
	Group *errgroup.Group
}

// Process is a running program.
type Process struct {
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	// killed and stopped tell what was sent to the process.
	killed, stopped atomic.Bool
	started         time.Time
	err             error
}

// Start starts a process.
func Start(config Config) (*Process, error) {
	const step = "start process"
	log, err := os.OpenFile(config.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, step, config.Log)
	}
	cmd := exec.Command(config.Program, config.Args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, config.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	p := &Process{cmd: cmd, log: log, ended: make(chan struct{}), started: time.Now()}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, step, config.Program), log.Close())
	}
	config.Group.Go(func() error {
		p.err = cmd.Wait()
		close(p.ended)
		return log.Close()
	})
	return p, nil
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

// Ended is closed once the process is gone.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Gone tells whether the process has ended.
func (p *Process) Gone() bool {
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

// Failure returns why an ended process counts as failed: it ended by itself, or not well after it was asked to. A
// process that was killed has not failed.
func (p *Process) Failure() error {
	switch {
	case !p.Gone() || p.killed.Load():
		return nil
	case !p.stopped.Load():
		return fault.New(fault.Internal, "run process", p.cmd.Path, "ended by itself after %v: %v", time.Since(p.started), p.err)
	case p.err != nil:
		return fault.Wrap(p.err, fault.Internal, "stop process", p.cmd.Path)
	}
	return nil
}
