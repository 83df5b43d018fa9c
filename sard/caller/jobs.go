package caller

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// JobList is the response body of a call that lists jobs.
type JobList struct{ Jobs []gang.JobView }

// CancelRequest is the request body of a call that cancels several jobs.
type CancelRequest struct{ Jobs []ident.Job }

// jobsAPI handles the job calls of client accounts.
type jobsAPI struct {
	checkServing func() error
	jobs         gang.JobService
}

// registerJobs adds the routes of the jobs API.
func registerJobs(e *echo.Echo, cfg Config) {
	handler := jobsAPI{checkServing: cfg.CheckServing, jobs: cfg.Jobs}
	group := e.Group("/v1/jobs", cfg.Tokens.RequireAccount, middleware.BodyLimit(maxJobBody))
	group.POST("", handler.submit)
	group.GET("", handler.list)
	group.POST("/cancel", handler.cancelMany)
	group.GET("/:id", handler.get)
	group.DELETE("/:id", handler.cancelOne)
	group.GET("/:id/explain", handler.explain)
}

// submit handles POST /v1/jobs, which submits a job.
func (api jobsAPI) submit(c echo.Context) error {
	if err := api.checkServing(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "take job", "").WithRetryAfter(unavailableRetryAfter)
	}
	var spec gang.JobSpec
	if err := decodeBody(c, "read job", &spec); err != nil {
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
func (api jobsAPI) cancelMany(c echo.Context) error {
	var request CancelRequest
	if err := decodeBody(c, "read cancellation", &request); err != nil {
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

// decodeBody decodes a JSON body with decodeStrict. The error is an Invalid fault of the given step.
func decodeBody(c echo.Context, step string, into any) error {
	if err := decodeStrict(c.Request().Body, into); err != nil {
		return fault.Wrap(err, fault.Invalid, step, "caller")
	}
	return nil
}
