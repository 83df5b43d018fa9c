package route

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of retries.
const (
	// maxTries bounds the attempts of one request, those that were refused not counted.
	maxTries = 4
	// maxRefusals bounds the refused attempts of one request.
	maxRefusals = 20
	// retryPause is half the mean pause before the first retry. It doubles with each try.
	retryPause = 2 * time.Millisecond
)

// call is a request on its way.
type call struct {
	Request
	route    envdoc.Route
	payload  *payload
	deadline time.Time
	// need is the time that the request is expected to take once it has a slot.
	need time.Duration
	// spent is set once the body has been read away, so that it cannot be sent again.
	spent bool
	// refusals counts the attempts that were refused.
	refusals int
	// failed are the servers at which attempts have failed.
	failed []*backend
	// sent is set once a byte may have left.
	sent bool
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// Do forwards a request and waits for the start of its answer. The answer's body must be closed.
func (r *Router) Do(ctx context.Context, q Request) Result {
	route, refused := r.match(q.Path)
	if refused != nil {
		return *refused
	}
	r.enter()
	if q.ID == "" {
		q.ID = newRequestID()
	}
	wait := route.Timeout.Std()
	if q.Timeout > 0 {
		wait = min(wait, q.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	done := func() {
		cancel()
		r.leave()
	}
	c := &call{Request: q, route: route}
	c.deadline, _ = ctx.Deadline()
	result := r.honest(c, r.settle(ctx, c))
	r.report(c, result)
	answer, ok := result.(Answered)
	if !ok {
		done()
		return result
	}
	answer.Body = &finisher{ReadCloser: answer.Body, finish: done}
	return answer
}

// settle reads the body, makes the claim of a keyed request and forwards it.
func (r *Router) settle(ctx context.Context, c *call) Result {
	if refused := r.prepare(c); refused != nil {
		return *refused
	}
	if c.IdempotencyKey != "" && c.route.Class == ident.NotRepeated {
		return r.forwardOnce(ctx, c)
	}
	return r.forward(ctx, c)
}

// prepare reads the start of the body, when the request is likely to get a slot in time.
func (r *Router) prepare(c *call) *NotRun {
	if refused := r.probeQueue(c); refused != nil {
		return refused
	}
	buffer := payloadBuffer
	if c.IdempotencyKey != "" && c.route.Class == ident.NotRepeated {
		buffer = keyedBuffer
	}
	body, err := readPayload(c.Body, c.ContentLength, c.route.MaxBody, buffer)
	switch {
	case errors.Is(err, errTooLarge):
		return tooLarge(err)
	case err != nil:
		return &NotRun{Status: http.StatusBadRequest, Fault: fault.Wrap(err, fault.Invalid, "read request", "caller")}
	}
	c.payload = body
	return nil
}

func tooLarge(err error) *NotRun {
	return &NotRun{Status: http.StatusRequestEntityTooLarge, Fault: fault.Wrap(err, fault.Invalid, "read request", "caller")}
}

// probeQueue refuses a request that would not be let into the queue, before its body is read.
func (r *Router) probeQueue(c *call) *NotRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.service[c.route.Name]
	if !ok {
		s = &serviceTime{}
		r.service[c.route.Name] = s
	}
	c.need = min(s.likely(), time.Until(c.deadline)/2)
	return r.admits(c.ticket(), false, time.Now())
}

func (c *call) ticket() *ticket {
	return &ticket{
		account:  c.Account,
		class:    c.route.Class,
		deadline: c.deadline,
		need:     c.need,
		failed:   c.failed,
		granted:  make(chan grant, 1),
	}
}

// forward sends the request until it is answered, the tries are used up, or another try would not be safe.
func (r *Router) forward(ctx context.Context, c *call) Result {
	for try := 1; ; try++ {
		start := time.Now()
		s, notRun := r.wait(ctx, c.ticket(), try > 1)
		if notRun != nil {
			return c.without(notRun)
		}
		r.metrics.waits.Observe(time.Since(start).Seconds())
		r.log.Info("request routed", "request", c.ID, "account", c.Account, "route", c.route.Name,
			"server", s.backend.server.Name, "try", try, "waited", time.Since(start))
		end := r.attempt(ctx, s, c)
		if result := r.conclude(ctx, c, end, try); result != nil {
			return result
		}
		if _, busy := end.(refused); busy {
			c.refusals++
			continue
		}
		c.failed = append(c.failed, s.backend)
		clock.Sleep(ctx, jitter(retryPause<<len(c.failed)))
	}
}

// without is the result of a request that gets no further slot.
func (c *call) without(refused *NotRun) Result {
	if c.mayHaveRun {
		return Unknown{Status: http.StatusGatewayTimeout, Fault: refused.Fault}
	}
	return *refused
}

// conclude turns the end of an attempt into the result, or returns nil for another try.
func (r *Router) conclude(ctx context.Context, c *call, end attemptEnd, try int) Result {
	again := try-c.refusals < maxTries && c.refusals < maxRefusals && ctx.Err() == nil && !c.spent
	switch end := end.(type) {
	case answered:
		if again && end.failing && c.route.Class == ident.Idempotent && r.mayRetry() {
			c.mayHaveRun = true
			_ = end.answer.Body.Close()
			return nil
		}
		return end.answer
	case unreached:
		if again {
			return nil
		}
		return c.without(&NotRun{Status: http.StatusServiceUnavailable, Fault: end.fault.WithRetryAfter(minRetryAfter)})
	case refused:
		if again && c.route.Class == ident.Idempotent {
			return nil
		}
		return c.without(&NotRun{Status: http.StatusServiceUnavailable, Fault: end.fault.WithRetryAfter(max(end.after, minRetryAfter))})
	case lost:
		c.mayHaveRun = true
		if again && c.route.Class == ident.Idempotent && r.mayRetry() {
			return nil
		}
		return Unknown{Status: end.status(), Fault: end.fault}
	}
	return nil
}

// mayRetry takes a retry from the budget.
func (r *Router) mayRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retries.spend() {
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// report counts and logs a result.
func (r *Router) report(c *call, result Result) {
	r.metrics.outcomes.WithLabelValues(string(c.route.Name), result.Outcome().String()).Inc()
	switch result := result.(type) {
	case Answered:
		r.log.Debug("request answered", "request", c.ID, "status", result.Status)
	case NotRun:
		r.log.Info("request not run", "request", c.ID, "account", c.Account, "route", c.route.Name, "error", result.Fault)
	case Unknown:
		r.log.Warn("request outcome unknown", "request", c.ID, "account", c.Account, "route", c.route.Name, "error", result.Fault)
	}
}
