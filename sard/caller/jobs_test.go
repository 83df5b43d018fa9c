package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// memoryJobs is a gang.JobService that keeps jobs in memory. It rejects submissions without accelerators.
type memoryJobs struct{ views map[ident.Job]gang.JobView }

// newMemoryJobs returns a service that holds one job of another account.
func newMemoryJobs() *memoryJobs {
	return &memoryJobs{views: map[ident.Job]gang.JobView{"theirs": {ID: "theirs", Account: "alerts"}}}
}

func (s *memoryJobs) Submit(_ context.Context, account ident.Account, key ident.IdempotencyKey, spec gang.JobSpec) (gang.JobView, error) {
	if spec.Accelerators == 0 {
		return gang.JobView{}, fault.New(fault.Throttled, "submit job", "", "the queue is full").WithRetryAfter(1500 * time.Millisecond)
	}
	v := gang.JobView{ID: ident.Job("job-" + key), Account: account, Spec: spec}
	s.views[v.ID] = v
	return v, nil
}

func (s *memoryJobs) Get(_ context.Context, account ident.Account, job ident.Job) (gang.JobView, error) {
	v, ok := s.views[job]
	if !ok || v.Account != account {
		return gang.JobView{}, fault.New(fault.NotFound, "get job", "", "no job %s", job)
	}
	return v, nil
}

func (s *memoryJobs) List(_ context.Context, account ident.Account) ([]gang.JobView, error) {
	var found []gang.JobView
	for _, v := range s.views {
		if v.Account == account {
			found = append(found, v)
		}
	}
	return found, nil
}

func (s *memoryJobs) Cancel(ctx context.Context, account ident.Account, ids []ident.Job) error {
	for _, id := range slices.Compact(ids) {
		v, err := s.Get(ctx, account, id)
		if err != nil {
			return err
		}
		v.State = ident.Cancelled
		s.views[id] = v
	}
	return nil
}

func (s *memoryJobs) Explain(_ context.Context, _ ident.Account, job ident.Job) (place.Explanation, error) {
	return place.Explanation{Job: job, State: "Waiting"}, nil
}

func TestJobsAPI(t *testing.T) {
	api := startAPI(t, nil)
	tests := []struct {
		name, method, path, body string
		status                   int
		contains                 string
	}{
		{"submit", http.MethodPost, "", `{"Kind":"orbit","Accelerators":8,"RunTime":"2h"}`, http.StatusAccepted, `"RunTime":"2h0m0s"`},
		{"unknown key", http.MethodPost, "", `{"Sort":"orbit"}`, http.StatusBadRequest, `"Kind":"Invalid"`},
		{"two values", http.MethodPost, "", `{}{}`, http.StatusBadRequest, `"Step":"read job"`},
		{"rejected", http.MethodPost, "", `{"Kind":"orbit"}`, http.StatusTooManyRequests, `"RetryAfterMs":1500`},
		{"list", http.MethodGet, "", "", http.StatusOK, `"ID":"job-"`},
		{"get", http.MethodGet, "/job-", "", http.StatusOK, `"State":"Queued"`},
		{"job of another account", http.MethodGet, "/theirs", "", http.StatusNotFound, `"Kind":"NotFound"`},
		{"explain", http.MethodGet, "/job-/explain", "", http.StatusOK, `"State":"Waiting"`},
		{"cancel several", http.MethodPost, "/cancel", `{"Jobs":["job-"]}`, http.StatusNoContent, ""},
		{"cancel", http.MethodDelete, "/job-", "", http.StatusNoContent, ""},
		{"cancelled", http.MethodGet, "/job-", "", http.StatusOK, `"State":"Cancelled"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := sendRequest(t, tt.method, api.URL+"/v1/jobs"+tt.path, tt.body)
			assert.NilError(t, err)
			assert.Equal(t, got.status, tt.status, got.body)
			assert.Assert(t, tt.contains == "" || json.Valid([]byte(got.body)))
			assert.Assert(t, strings.Contains(got.body, tt.contains), got.body)
			if tt.status == http.StatusTooManyRequests {
				assert.Equal(t, got.header.Get("Retry-After"), "2")
			}
		})
	}
}

func TestMissingTokenIsUnauthorized(t *testing.T) {
	api := startAPI(t, nil)
	for _, path := range []string{"/v1/jobs", "/r/price"} {
		response, err := http.Get(api.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	}
}
