package sched

import (
	"context"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// maxFlights is the maximum number of start and stop requests that are in flight and count as active. More would
	// delay each other's responses on an instance with little processor time.
	maxFlights = 64
	// flightTime is how long a request counts as active. A worker that takes longer does not hold up the others.
	flightTime = 200 * time.Millisecond
)

//go:generate go tool stringer -type=commandClass -output=commandclass_string.go

// commandClass determines the order in which queued commands are sent.
type commandClass int

// Classes of commands, in the order in which they are sent.
const (
	// stopClass holds stops, which free capacity.
	stopClass commandClass = iota
	// throttleClass holds throttle requests.
	throttleClass
	// guaranteedStartClass holds starts of guaranteed jobs.
	guaranteedStartClass
	// startClass holds all other starts.
	startClass
	// classCount is the number of classes.
	classCount
)

// command is a request to a worker that is queued until it is sent: a startCommand, stopCommand or throttleCommand.
type command interface{ command() }

// startCommand starts an attempt.
type startCommand struct{ start pool.Start }

// stopCommand stops an attempt.
type stopCommand struct{ attempt work.Attempt }

func (startCommand) command() {}
func (stopCommand) command()  {}

// flight is a command that was sent and counts as active until it is released.
type flight struct {
	session  *session
	sentAt   clock.Instant
	released bool
}

// commandQueue holds the commands that are waiting to be sent. At most one command per worker, and maxFlights of all, are
// active at a time, so that a burst of commands needs few connections and delays no other responses.
type commandQueue struct {
	// ready holds, for each class, the sessions that may have a queued command of that class and no active one.
	ready [classCount][]*session
	// flights holds the active commands and some released ones, in the order in which they were sent.
	flights []*flight
	active  int
}

// add queues a command for a worker.
func (q *commandQueue) add(w *session, class commandClass, c command) {
	w.commands[class] = append(w.commands[class], c)
	if w.flight == nil {
		q.ready[class] = append(q.ready[class], w)
	}
}

// next removes and returns the next command to send, or nil if there is none in the classes up to last.
func (q *commandQueue) next(last commandClass) (*session, command) {
	for class := range last + 1 {
		for len(q.ready[class]) > 0 {
			w := q.ready[class][0]
			q.ready[class] = q.ready[class][1:]
			if w.flight != nil || len(w.commands[class]) == 0 || class >= guaranteedStartClass && w.holdsStarts() {
				continue
			}
			c := w.commands[class][0]
			w.commands[class] = w.commands[class][1:]
			return w, c
		}
	}
	return nil, nil
}

// depart records that a command is being sent to a worker, which makes it active.
func (q *commandQueue) depart(w *session) *flight {
	f := &flight{session: w, sentAt: clock.Now()}
	w.flight = f
	q.flights = append(q.flights, f)
	q.active++
	return f
}

// release ends the active time of a command, after which the worker may get the next one.
func (q *commandQueue) release(f *flight) {
	if f.released {
		return
	}
	f.released = true
	q.active--
	if f.session.flight == f {
		f.session.flight = nil
		q.makeReady(f.session)
	}
}

// makeReady adds a session to the ready list of each class of which it has queued commands.
func (q *commandQueue) makeReady(w *session) {
	for class := range classCount {
		if len(w.commands[class]) > 0 {
			q.ready[class] = append(q.ready[class], w)
		}
	}
}

// makeReadyIfIdle adds a session without an active command to the ready lists, after it may have held back starts.
func (q *commandQueue) makeReadyIfIdle(w *session) {
	if w.flight == nil {
		q.makeReady(w)
	}
}

// releaseSlow releases the commands that were sent more than flightTime ago.
func (q *commandQueue) releaseSlow() {
	for len(q.flights) > 0 {
		f := q.flights[0]
		if !f.released && clock.Since(f.sentAt) < flightTime {
			return
		}
		q.release(f)
		q.flights = q.flights[1:]
	}
}

// discard removes the queued commands of a worker whose process was replaced, except the stops of attempts for which keep
// returns true. Starts are not repeated to another process.
func (q *commandQueue) discard(w *session, keep func(work.Attempt) bool) {
	for class := range classCount {
		w.commands[class] = slices.DeleteFunc(w.commands[class], func(c command) bool {
			stop, ok := c.(stopCommand)
			return !ok || !keep(stop.attempt)
		})
	}
	if w.flight != nil {
		q.release(w.flight)
	}
}

// sendCommands sends queued commands. Throttle requests are sent only while the scheduler lease is held, and starts only while the
// worker list is read, too.
func (s *Scheduler) sendCommands(ctx context.Context) {
	s.commands.releaseSlow()
	s.releaseHeldStarts()
	last := startClass
	switch {
	case s.lease.Check() != nil:
		last = stopClass
	case !s.workerListCurrent():
		last = throttleClass
	}
	for s.commands.active < maxFlights {
		w, c := s.commands.next(last)
		switch c := c.(type) {
		case startCommand:
			s.sendStart(ctx, w, c.start)
		case stopCommand:
			s.sendStop(ctx, w, c.attempt)
		case throttleCommand:
			s.sendThrottle(ctx, w, c.attempt)
		case nil:
			return
		}
		if w.flight == nil {
			// The command was not needed any more and the worker can get its next one.
			s.commands.makeReady(w)
		}
	}
}

// queueStart queues the start of an attempt.
func (s *Scheduler) queueStart(w *session, state *attemptState, start pool.Start) {
	if state.startQueued {
		return
	}
	state.startQueued = true
	s.starts.unsettled[w.id()] = true
	s.commands.add(w, startClassOf(start), startCommand{start: start})
}

// startClassOf returns the class of the command that starts an attempt.
func startClassOf(start pool.Start) commandClass {
	if start.Priority == work.Guaranteed {
		return guaranteedStartClass
	}
	return startClass
}

// queueStop queues the stop of an attempt, unless one is queued or in flight.
func (s *Scheduler) queueStop(w *session, a work.Attempt, state *attemptState) {
	if state.stopPending || w.client == nil {
		return
	}
	state.stopPending = true
	if state.stopDue == clock.Never {
		state.stopDue = clock.Now().Add(s.config.MaxStopTime)
	}
	s.commands.add(w, stopClass, stopCommand{attempt: a})
}
