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

// JobList is the body of the answer that lists jobs.
type JobList struct{ Jobs []gang.JobView }

// CancelRequest is the body of a call that cancels jobs.
type CancelRequest struct{ Jobs []ident.Job }

// jobsAPI serves the jobs of client accounts.
type jobsAPI struct {
	serving func() error
	jobs    gang.JobService
}

func registerJobs(e *echo.Echo, cfg Config) {
	api := jobsAPI{serving: cfg.CheckServing, jobs: cfg.Jobs}
	g := e.Group("/v1/jobs", cfg.Tokens.RequireAccount, middleware.BodyLimit(maxJobBody))
	g.POST("", api.submit)
	g.GET("", api.list)
	g.POST("/cancel", api.cancel)
	g.GET("/:id", api.get)
	g.DELETE("/:id", api.remove)
	g.GET("/:id/explain", api.explain)
}

func (a jobsAPI) submit(c echo.Context) error {
	if err := a.serving(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "take job", "").WithRetryAfter(comeBack)
	}
	var spec gang.JobSpec
	if err := decode(c, "read job", &spec); err != nil {
		return err
	}
	key := ident.IdempotencyKey(c.Request().Header.Get(HeaderIdempotencyKey))
	view, err := a.jobs.Submit(c.Request().Context(), creds.AccountOf(c), key, spec)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, view)
}

func (a jobsAPI) list(c echo.Context) error {
	views, err := a.jobs.List(c.Request().Context(), creds.AccountOf(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, JobList{Jobs: views})
}

func (a jobsAPI) get(c echo.Context) error {
	view, err := a.jobs.Get(c.Request().Context(), creds.AccountOf(c), jobOf(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

func (a jobsAPI) remove(c echo.Context) error {
	return a.cancelJobs(c, []ident.Job{jobOf(c)})
}

func (a jobsAPI) cancel(c echo.Context) error {
	var request CancelRequest
	if err := decode(c, "read cancellation", &request); err != nil {
		return err
	}
	return a.cancelJobs(c, request.Jobs)
}

func (a jobsAPI) cancelJobs(c echo.Context, jobs []ident.Job) error {
	if err := a.jobs.Cancel(c.Request().Context(), creds.AccountOf(c), jobs); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (a jobsAPI) explain(c echo.Context) error {
	explanation, err := a.jobs.Explain(c.Request().Context(), creds.AccountOf(c), jobOf(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, explanation)
}

func jobOf(c echo.Context) ident.Job {
	return ident.Job(c.Param("id"))
}

// decode reads a JSON body strictly.
func decode(c echo.Context, step string, into any) error {
	if err := decodeStrict(c.Request().Body, into); err != nil {
		return fault.Wrap(err, fault.Invalid, step, "caller")
	}
	return nil
}
