package caller

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/intake"
)

// JobList is the response body of a call that lists jobs.
type JobList struct{ Jobs []gang.JobView }

// CancelRequest is the request body of a call that cancels several jobs.
type CancelRequest struct{ Jobs []ident.Job }

// jobsAPI handles the job calls of client accounts.
type jobsAPI struct {
	checkServing func() error
	jobs         gang.JobService
	guard        *intake.Guard
}

// What jobs calls hold while they are served, in bytes.
const (
	// callMemory is what each call holds.
	callMemory = 64 << 10
	// listMemory is what a list of jobs holds.
	listMemory = 2 << 20
	// decodedFactor is how many times the size of its body a call holds, once it is decoded and encoded again.
	decodedFactor = 8
)

// inTurn returns a handler that waits until there is the given memory for it.
func (api jobsAPI) inTurn(lane intake.Lane, bytes int64, handle echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		need := intake.Need{Account: creds.AccountOf(c), Lane: lane, Bytes: bytes}
		turn, err := api.guard.Serve(c.Request().Context(), c.Request(), need)
		if err != nil {
			return refusal(err)
		}
		defer turn.End()
		return handle(c)
	}
}

// withBody returns a handler that reads the body of a call, and passes it to another one once there is memory for that.
func (api jobsAPI) withBody(handle func(echo.Context, []byte) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := readJobBody(c)
		if err != nil {
			return err
		}
		bytes := callMemory + decodedFactor*int64(len(body))
		return api.inTurn(intake.WritingLane(len(body)), bytes, func(c echo.Context) error { return handle(c, body) })(c)
	}
}

// registerJobs adds the routes of the jobs API.
func registerJobs(e *echo.Echo, cfg Config) {
	handler := jobsAPI{checkServing: cfg.CheckServing, jobs: cfg.Jobs, guard: cfg.Guard}
	group := e.Group("/v1/jobs", cfg.Tokens.RequireAccount)
	group.POST("", handler.whileServing(handler.withBody(handler.submit)))
	group.GET("", handler.inTurn(intake.Reading, listMemory, handler.list))
	group.POST("/cancel", handler.withBody(handler.cancelMany))
	group.GET("/:id", handler.inTurn(intake.Reading, callMemory, handler.get))
	group.DELETE("/:id", handler.inTurn(intake.Writing, callMemory, handler.cancelOne))
	group.GET("/:id/explain", handler.inTurn(intake.Reading, callMemory, handler.explain))
}

// whileServing returns a handler that rejects calls, before their bodies are read, while the instance accepts no work.
func (api jobsAPI) whileServing(handle echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := api.rejectUnlessServing(); err != nil {
			return err
		}
		return handle(c)
	}
}

// rejectUnlessServing returns an error while the instance accepts no work.
func (api jobsAPI) rejectUnlessServing() error {
	if err := api.checkServing(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "take job", "").WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

// submit handles POST /v1/jobs, which submits a job.
func (api jobsAPI) submit(c echo.Context, body []byte) error {
	if err := api.rejectUnlessServing(); err != nil {
		return err
	}
	var spec gang.JobSpec
	if err := decodeJobBody(body, "read job", &spec); err != nil {
		return err
	}
	key := ident.IdempotencyKey(c.Request().Header.Get(HeaderIdempotencyKey))
	view, err := api.jobs.Submit(c.Request().Context(), creds.AccountOf(c), key, spec)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, view)
}

// list handles GET /v1/jobs, which returns the jobs of the caller's account.
func (api jobsAPI) list(c echo.Context) error {
	views, err := api.jobs.List(c.Request().Context(), creds.AccountOf(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, JobList{Jobs: views})
}

// get handles GET /v1/jobs/:id, which returns the state of a job.
func (api jobsAPI) get(c echo.Context) error {
	view, err := api.jobs.Get(c.Request().Context(), creds.AccountOf(c), jobParam(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

// cancelOne handles DELETE /v1/jobs/:id, which cancels a job.
func (api jobsAPI) cancelOne(c echo.Context) error {
	return api.cancelJobs(c, []ident.Job{jobParam(c)})
}

// cancelMany handles POST /v1/jobs/cancel, which cancels the jobs that the body lists.
func (api jobsAPI) cancelMany(c echo.Context, body []byte) error {
	var request CancelRequest
	if err := decodeJobBody(body, "read cancellation", &request); err != nil {
		return err
	}
	return api.cancelJobs(c, request.Jobs)
}

// cancelJobs cancels jobs of the caller's account.
func (api jobsAPI) cancelJobs(c echo.Context, jobs []ident.Job) error {
	if err := api.jobs.Cancel(c.Request().Context(), creds.AccountOf(c), jobs); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// explain handles GET /v1/jobs/:id/explain, which tells why a job waits, or where and why it was placed.
func (api jobsAPI) explain(c echo.Context) error {
	explanation, err := api.jobs.Explain(c.Request().Context(), creds.AccountOf(c), jobParam(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, explanation)
}

// jobParam returns the job ID in the path of a call.
func jobParam(c echo.Context) ident.Job {
	return ident.Job(c.Param("id"))
}
