package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/place"
)

// pathJobs is the path of the jobs of the caller's account.
const pathJobs = "/v1/jobs"

// jobsArg is the positional argument of commands for several jobs.
type jobsArg struct {
	Args struct {
		Jobs []ident.Job `positional-arg-name:"JOB" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// jobArg is the positional argument of commands for one job.
type jobArg struct {
	Args struct {
		Job ident.Job `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

// submitCommand implements "sardctl submit".
type submitCommand struct {
	Kind           ident.JobKind        `long:"kind" required:"yes" description:"what the job does; run times are learnt by it"`
	Accelerators   ident.Accelerators   `long:"accelerators" short:"n" required:"yes" description:"size of the gang"`
	RunTime        time.Duration        `long:"run-time" description:"expected run time"`
	Checkpointable bool                 `long:"checkpointable" description:"the job can be stopped and resumed"`
	Urgent         bool                 `long:"urgent" description:"the job starts within seconds"`
	NotRepeated    bool                 `long:"not-repeated" description:"the job is tried once only"`
	DataCentre     ident.DataCentre     `long:"data-centre" description:"where the job must run; anywhere when not given"`
	Command        string               `long:"command" description:"payload for the worker"`
	Key            ident.IdempotencyKey `long:"key" description:"names the submission, so that repeating it gives the same job; made up when not given"`
	session        *session
}

// Execute submits a job.
func (c *submitCommand) Execute([]string) error {
	call, err := newPostCall(pathJobs, gang.JobSpec{
		Kind: c.Kind, Accelerators: c.Accelerators, RunTime: ident.Duration(c.RunTime), Checkpointable: c.Checkpointable,
		Urgent: c.Urgent, NotRepeated: c.NotRepeated, DataCentre: c.DataCentre, Command: c.Command,
	})
	if err != nil {
		return err
	}
	if c.Key == "" {
		c.Key = ident.IdempotencyKey(newToken())
	}
	call.header.Set("Idempotency-Key", string(c.Key))
	view, err := fetch[gang.JobView](c.session, call)
	if err != nil {
		return fmt.Errorf("submission with --key %s: %w", c.Key, err)
	}
	return c.session.printJobs(view, view)
}

// getCommand implements "sardctl get".
type getCommand struct {
	jobArg
	session *session
}

// Execute shows a job.
func (c *getCommand) Execute([]string) error {
	view, err := getJob(c.session, c.Args.Job)
	if err != nil {
		return err
	}
	return c.session.printJobs(view, view)
}

// getJob fetches a job of the caller's account.
func getJob(s *session, job ident.Job) (gang.JobView, error) {
	return fetch[gang.JobView](s, newGetCall(fmt.Sprintf("%s/%s", pathJobs, job)))
}

// listCommand implements "sardctl list".
type listCommand struct {
	All     bool `long:"all" description:"all accounts' jobs; needs an operator's token"`
	session *session
}

// Execute lists jobs.
func (c *listCommand) Execute([]string) error {
	path := pathJobs
	if c.All {
		path = oper.PathJobs
	}
	list, err := fetch[caller.JobList](c.session, newGetCall(path))
	if err != nil {
		return err
	}
	return c.session.printJobs(list, list.Jobs...)
}

// cancelCommand implements "sardctl cancel".
type cancelCommand struct {
	jobsArg
	session *session
}

// Execute cancels jobs.
func (c *cancelCommand) Execute([]string) error {
	client, ctx, cancel, err := c.session.connect()
	if err != nil {
		return err
	}
	defer cancel()
	call, err := newPostCall(pathJobs+"/cancel", caller.CancelRequest{Jobs: c.Args.Jobs})
	if err != nil {
		return err
	}
	if err := client.do(ctx, call, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.session.stdout, "cancelled: %d jobs\n", len(c.Args.Jobs))
	return err
}

// explainCommand implements "sardctl explain".
type explainCommand struct {
	jobArg
	All     bool `long:"all" description:"a job of any account; needs an operator's token"`
	session *session
}

// Execute prints why a job waits or where it was placed.
func (c *explainCommand) Execute([]string) error {
	base := pathJobs
	if c.All {
		base = oper.PathJobs
	}
	e, err := fetch[place.Explanation](c.session, newGetCall(fmt.Sprintf("%s/%s/explain", base, c.Args.Job)))
	if err != nil {
		return err
	}
	return c.session.print(e, func(w *tableWriter) {
		w.writeRow("Job", e.Job)
		w.writeRow("State", e.State)
		w.writeRow("Last decision", e.Last)
		w.writeRow("Waits for", e.Waits)
		w.writeRow("Needs", e.Needs)
		for _, p := range e.Parts {
			w.writeRow("Part", p.Worker, p.Accelerators)
		}
	})
}

// waitCommand implements "sardctl wait".
type waitCommand struct {
	jobsArg
	session *session
}

// pollInterval is the time between two queries of a job's state.
const pollInterval = 500 * time.Millisecond

// Execute waits until all jobs have ended.
func (c *waitCommand) Execute([]string) error {
	deadline := time.Now().Add(c.session.options.Timeout)
	var ended []gang.JobView
	for _, job := range c.Args.Jobs {
		view, err := waitForJob(c.session, job, deadline)
		if err != nil {
			return err
		}
		ended = append(ended, view)
	}
	if err := c.session.printJobs(ended, ended...); err != nil {
		return err
	}
	for _, view := range ended {
		if view.State != ident.Succeeded {
			return &jobError{fmt.Sprintf("job %s: %s: %s", view.ID, view.State, view.Reason)}
		}
	}
	return nil
}

// waitForJob polls a job until it has ended or the deadline has passed.
func waitForJob(s *session, job ident.Job, deadline time.Time) (gang.JobView, error) {
	for {
		view, err := getJob(s, job)
		if err != nil || view.State.Terminal() {
			return view, err
		}
		if time.Now().After(deadline) {
			return view, &jobError{fmt.Sprintf("job %s is still %s after %v; try sardctl explain %s", job, view.State, s.options.Timeout, job)}
		}
		time.Sleep(pollInterval)
	}
}

// printJobs prints v as JSON, or the jobs as a table.
func (s *session) printJobs(v any, views ...gang.JobView) error {
	return s.print(v, func(w *tableWriter) {
		w.writeRow("JOB", "ACCOUNT", "KIND", "ACCELERATORS", "STATE", "ATTEMPT", "DATA CENTRE", "SUBMITTED", "STARTED", "ENDED", "REASON")
		for _, j := range views {
			w.writeRow(j.ID, j.Account, j.Spec.Kind, j.Spec.Accelerators, j.State, j.Attempt, j.DataCentre,
				formatTime(j.Submitted), formatTime(j.Started), formatTime(j.Ended), j.Reason)
		}
	})
}

// formatTime formats a time in UTC, or "-" if it is not set.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.DateTime)
}

// requestCommand implements "sardctl request".
type requestCommand struct {
	Method string `long:"method" short:"X" default:"POST" description:"HTTP method"`
	Data   string `long:"data" short:"d" description:"body of the request"`
	Key    string `long:"key" description:"idempotency key of a request that must not be repeated"`
	Args   struct {
		Path string `positional-arg-name:"PATH" description:"path of the route, such as /claims"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute sends a request and prints the response. A request that may have been received is not sent again.
func (c *requestCommand) Execute([]string) error {
	client, ctx, cancel, err := c.session.connect()
	if err != nil {
		return err
	}
	defer cancel()
	header := http.Header{}
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	call := apiCall{method: c.Method, path: requestPrefix + c.Args.Path, header: header, body: []byte(c.Data), singleAttempt: true}
	resp, err := client.send(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.session.printResponse(resp)
}
