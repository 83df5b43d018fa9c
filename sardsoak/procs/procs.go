// Package procs starts processes, sends signals to them and detects their end. It ends only processes that it started.
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

// outputBuffer is the size, in bytes, of the buffer for reading the output of a process.
const outputBuffer = 4 << 10

// Config configures the process that Start starts.
type Config struct {
	// Program is the executable, Args are its arguments.
	Program string
	Args    []string
	// Env holds environment variables of the process as NAME=VALUE, in addition to PATH and HOME.
	Env []string
	// LogPath is the file to which standard output and standard error are appended.
	LogPath string
	// Group runs the goroutines that copy the output and wait for the end of the process.
	Group *errgroup.Group
}

// Process is a process that Start has started. It may have ended.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// outputMutex is held while output is written to the log. BlockOutput holds it to stop the copying of the output.
	outputMutex sync.Mutex
	// killed and stopped report whether SIGKILL and SIGTERM were sent.
	killed, stopped atomic.Bool
	started         time.Time
	err             error
}

// Start starts a process and the goroutines that log its output and wait for its end.
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

// copyOutput copies the output of the process to its log until the pipe is closed.
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
		p.outputMutex.Lock()
		_, err = log.Write(buffer[:n])
		p.outputMutex.Unlock()
		if err != nil {
			return fault.Wrap(err, fault.Internal, "write log", p.cmd.Path)
		}
	}
}

// BlockOutput stops reading the output of the process for a duration, so that its pipe may fill up and block the
// process.
func (p *Process) BlockOutput(duration time.Duration) {
	p.outputMutex.Lock()
	defer p.outputMutex.Unlock()
	time.Sleep(duration)
}

// Kill ends the process with SIGKILL.
func (p *Process) Kill() {
	p.killed.Store(true)
	p.signal(syscall.SIGKILL)
}

// Stop asks the process to end with SIGTERM.
func (p *Process) Stop() {
	p.stopped.Store(true)
	p.signal(syscall.SIGTERM)
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Hangup tells the process with SIGHUP that its settings have changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// signal sends a signal. Errors are ignored: they mean that the process has ended.
func (p *Process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Stopping reports whether Stop was called and Kill was not. The process may have ended already.
func (p *Process) Stopping() bool {
	return p.stopped.Load() && !p.killed.Load()
}

// Err returns an error if the process ended without Stop or Kill, or with a failure after Stop. A process that Kill has
// ended has not failed.
func (p *Process) Err() error {
	switch {
	case !p.Exited() || p.killed.Load():
		return nil
	case !p.stopped.Load():
		return fault.New(fault.Internal, "run process", p.cmd.Path, "exited unexpectedly after %v: %v", time.Since(p.started), p.err)
	case p.err != nil:
		return fault.Wrap(p.err, fault.Internal, "stop process", p.cmd.Path)
	}
	return nil
}
