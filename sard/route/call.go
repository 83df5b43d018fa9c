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
	"github.com/sardineline/sardineline/sard/intake"
)

// Settings of retries.
const (
	// maxAttempts limits the attempts per request, not counting refused ones.
	maxAttempts = 4
	// maxRefusedAttempts limits the refused attempts per request.
	maxRefusedAttempts = 20
	// retryBackoffBase is half the mean delay before the first retry. The delay doubles with each failed attempt.
	retryBackoffBase = 2 * time.Millisecond
)

// call is the state of a request that is being forwarded.
type call struct {
	Request
	route       envdoc.Route
	requestBody *requestBody
	deadline    time.Time
	// expectedService is the time that the request is expected to need once it has a slot.
	expectedService time.Duration
	// bodyConsumed is set once an unbuffered body may have been read, so that the request cannot be sent again.
	bodyConsumed bool
	// refusedAttempts is the number of attempts that servers refused to run.
	refusedAttempts int
	// failedBackends are the servers at which attempts failed.
	failedBackends []*backend
	// mayHaveSent is set once any byte of the request may have been sent.
	mayHaveSent bool
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// Do forwards a request and waits for the start of the response. The caller must close the body of an Answered
// result.
func (r *Router) Do(ctx context.Context, q Request) Result {
	route, rejected := r.matchRoute(q.Path)
	if rejected != nil {
		return *rejected
	}
	r.requestStarted()
	if q.ID == "" {
		q.ID = newRequestID()
	}
	timeout := route.Timeout.Std()
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	done := func() {
		cancel()
		r.requestFinished()
	}
	c := &call{Request: q, route: route}
	c.deadline, _ = ctx.Deadline()
	result := r.verifyNotRun(c, r.handle(ctx, c))
	r.observeResult(c, result)
	answered, ok := result.(Answered)
	if !ok {
		done()
		return result
	}
	answered.Body = &closeNotifier{ReadCloser: answered.Body, onClose: done}
	return answered
}

// handle reads the request body and forwards the request. A request with an idempotency key is claimed first.
func (r *Router) handle(ctx context.Context, c *call) Result {
	if rejected := r.readBody(c); rejected != nil {
		return *rejected
	}
	if c.IdempotencyKey != "" && c.route.Class == ident.NotRepeated {
		return r.forwardOnce(ctx, c)
	}
	return r.forward(ctx, c)
}

// readBody reads the start of the body if the request is likely to get a slot in time.
func (r *Router) readBody(c *call) *NotRun {
	if rejected := r.rejectEarly(c); rejected != nil {
		return rejected
	}
	bufferBytes := bodyBufferBytes
	if c.IdempotencyKey != "" && c.route.Class == ident.NotRepeated {
		bufferBytes = maxKeyedBodyBytes
	}
	body, err := readRequestBody(c.Body, c.Account, c.ContentLength, c.route.MaxBody, bufferBytes)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return bodyTooLarge(err)
	case intake.IsRefusal(err):
		return bodyRefused(err)
	case err != nil:
		return &NotRun{Status: http.StatusBadRequest, Fault: fault.Wrap(err, fault.Invalid, "read request", "caller")}
	}
	c.requestBody = body
	return nil
}

// bodyTooLarge returns the result for a body over its limit.
func bodyTooLarge(err error) *NotRun {
	return &NotRun{Status: http.StatusRequestEntityTooLarge, Fault: fault.Wrap(err, fault.Invalid, "read request", "caller")}
}

// bodyRefused returns the result for a body that did not arrive in time, or was given up.
func bodyRefused(err error) *NotRun {
	f := fault.Wrap(err, fault.Unavailable, "read request", "caller").WithRetryAfter(minRetryAfter)
	return &NotRun{Status: http.StatusServiceUnavailable, Fault: f}
}

// rejectEarly rejects a request that would not be admitted to the queue, before its body is read.
func (r *Router) rejectEarly(c *call) *NotRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.serviceTimes[c.route.Name]
	if !ok {
		s = &serviceTime{}
		r.serviceTimes[c.route.Name] = s
	}
	c.expectedService = min(s.upperEstimate(), time.Until(c.deadline)/2)
	return r.checkAdmission(c.newWaiter(), false, time.Now())
}

// newWaiter returns a waiter for the next attempt.
func (c *call) newWaiter() *waiter {
	return &waiter{
		account:         c.Account,
		class:           c.route.Class,
		deadline:        c.deadline,
		expectedService: c.expectedService,
		failedBackends:  c.failedBackends,
		result:          make(chan slotResult, 1),
	}
}

// forward sends the request until it is answered, the attempts are used up, or another attempt would not be safe.
func (r *Router) forward(ctx context.Context, c *call) Result {
	for attempt := 1; ; attempt++ {
		start := time.Now()
		waitCtx, endOffer := c.requestBody.held.Offer(ctx)
		s, notRun := r.waitForSlot(waitCtx, c.newWaiter(), attempt > 1)
		endOffer()
		if notRun != nil && c.requestBody.held.GivenUp() {
			notRun = bodyRefused(intake.ErrGivenUp)
		}
		if notRun != nil {
			return c.resultWithoutSlot(notRun)
		}
		r.metrics.waitSeconds.Observe(time.Since(start).Seconds())
		r.log.Info("request routed", "request", c.ID, "account", c.Account, "route", c.route.Name,
			"server", s.backend.server.Name, "try", attempt, "waited", time.Since(start))
		outcome := r.attempt(ctx, s, c)
		if outcome := r.resultOrRetry(ctx, c, outcome, attempt); outcome != nil {
			return outcome
		}
		if _, busy := outcome.(requestRefused); busy {
			c.refusedAttempts++
			continue
		}
		c.failedBackends = append(c.failedBackends, s.backend)
		clock.Sleep(ctx, jitter(retryBackoffBase<<len(c.failedBackends)))
	}
}

// resultWithoutSlot returns the result of a request that gets no further slot.
func (c *call) resultWithoutSlot(rejected *NotRun) Result {
	if c.mayHaveRun {
		return Unknown{Status: http.StatusGatewayTimeout, Fault: rejected.Fault}
	}
	return *rejected
}

// resultOrRetry returns the result of the request after an attempt, or nil if it should be sent again.
func (r *Router) resultOrRetry(ctx context.Context, c *call, outcome attemptResult, attempt int) Result {
	canRetry := attempt-c.refusedAttempts < maxAttempts && c.refusedAttempts < maxRefusedAttempts && ctx.Err() == nil && !c.bodyConsumed
	switch outcome := outcome.(type) {
	case responseReceived:
		if canRetry && outcome.serverError && c.route.Class == ident.Idempotent && r.takeRetryToken() {
			c.mayHaveRun = true
			_ = outcome.response.Body.Close()
			return nil
		}
		return outcome.response
	case requestNotSent:
		if canRetry {
			return nil
		}
		return c.resultWithoutSlot(&NotRun{Status: http.StatusServiceUnavailable, Fault: outcome.fault.WithRetryAfter(minRetryAfter)})
	case requestRefused:
		if canRetry && c.route.Class == ident.Idempotent {
			return nil
		}
		return c.resultWithoutSlot(&NotRun{
			Status: http.StatusServiceUnavailable, Fault: outcome.fault.WithRetryAfter(max(outcome.retryAfter, minRetryAfter)),
		})
	case responseLost:
		c.mayHaveRun = true
		if canRetry && c.route.Class == ident.Idempotent && r.takeRetryToken() {
			return nil
		}
		return Unknown{Status: outcome.httpStatus(), Fault: outcome.fault}
	}
	return nil
}

// takeRetryToken takes a retry from the budget and counts it. It returns false if the budget is exhausted.
func (r *Router) takeRetryToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retryBudget.withdraw() {
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// observeResult counts and logs a result.
func (r *Router) observeResult(c *call, result Result) {
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
