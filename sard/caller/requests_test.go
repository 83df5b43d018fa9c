package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// token is the bearer token of the client account "pricing".
const token = "pricing-token"

// startAPI starts the HTTP API of client accounts in front of one backend server with the given handler.
func startAPI(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	backend := httptest.NewServer(withRequestID(handler))
	t.Cleanup(backend.Close)
	router := route.New(route.Config{Instance: "i1", JoinDelay: time.Nanosecond})
	router.SetDocument(&envdoc.Document{
		Accounts: []envdoc.Account{{Name: "pricing"}},
		Routes: []envdoc.Route{
			{Name: "price", Path: "/price", Timeout: ident.Duration(5 * time.Second), MaxBody: 1 << 20},
			{Name: "settle", Path: "/settle", Class: ident.NotRepeated, Timeout: ident.Duration(5 * time.Second)},
		},
	})
	router.SetServers([]fleet.Server{{
		Name: "b1", Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 8, Connections: 60,
	}})
	router.SetInstances("i1", nil)
	router.SetInstances("i1", nil)
	tokens, err := creds.NewTokens([]creds.TokenEntry{{Sha256: creds.HashToken(token), Account: "pricing"}})
	assert.NilError(t, err)
	api := httptest.NewServer(caller.New(caller.Config{Router: router, Tokens: tokens, Jobs: newMemoryJobs()}))
	t.Cleanup(api.Close)
	return api
}

// withRequestID returns the request's id in the response header, as backend servers must.
func withRequestID(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(server.HeaderRequest, r.Header.Get(server.HeaderRequest))
		handler(w, r)
	})
}

// response is the response that a caller receives.
type response struct {
	status int
	header http.Header
	body   string
}

// sendRequest sends an authenticated request. The error is that of reading the response body.
func sendRequest(t *testing.T, method, url, body string) (response, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(content)}, err
}

func TestForward(t *testing.T) {
	api := startAPI(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.String()+" "+string(body)+" "+r.Header.Get(server.HeaderAccount)+
			r.Header.Get("Authorization"))
	})
	got, err := sendRequest(t, http.MethodPost, api.URL+"/r/price/renewal?x=1", "battery")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "POST /price/renewal?x=1 battery pricing")
	assert.Equal(t, got.header.Get(caller.HeaderOutcome), "Answered")
}

func TestForwardRejectsInvalidRequests(t *testing.T) {
	api := startAPI(t, func(http.ResponseWriter, *http.Request) { t.Error("the server was called") })
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"no route", "/r/other", "", http.StatusNotFound},
		{"route matches only part of a path segment", "/r/prices", "", http.StatusNotFound},
		{"dot segments", "/r/price/%2e%2e/settle", "", http.StatusBadRequest},
		{"too large", "/r/price", strings.Repeat("x", 1<<20+1), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := sendRequest(t, http.MethodPost, api.URL+tt.path, tt.body)
			assert.NilError(t, err)
			assert.Equal(t, got.status, tt.status, got.body)
			assert.Equal(t, got.header.Get(caller.HeaderOutcome), "NotRun")
		})
	}
}

// TestTruncatedBackendResponse guards against passing on a response whose backend connection breaks before
// Content-Length as if it were complete. A short one is replaced by an error; of a long one, part has already been
// sent, so the caller's connection must be aborted.
func TestTruncatedBackendResponse(t *testing.T) {
	tests := []struct {
		name   string
		size   int
		aborts bool
	}{
		{"short answer", 100, false},
		{"long answer", 200_000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			api := startAPI(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "300000")
				_, _ = io.WriteString(w, strings.Repeat("x", tt.size))
				panic(http.ErrAbortHandler)
			})
			got, err := sendRequest(t, http.MethodPost, api.URL+"/r/settle", "")
			if tt.aborts {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, got.header.Get(caller.HeaderOutcome), "Unknown")
		})
	}
}

// TestUnconfirmedInstanceRejectsWork checks that an instance whose CheckServing fails forwards no requests and accepts
// no jobs.
func TestUnconfirmedInstanceRejectsWork(t *testing.T) {
	tokens, err := creds.NewTokens([]creds.TokenEntry{{Sha256: creds.HashToken("token"), Account: "north"}})
	assert.NilError(t, err)
	checkServing := func() error { return fault.New(fault.Unavailable, "check readiness", "", "version not confirmed") }
	api := caller.New(caller.Config{Jobs: &memoryJobs{}, Router: route.New(route.Config{}), Tokens: tokens, CheckServing: checkServing})
	tests := []struct{ path, outcome string }{
		{"/r/quotes", "NotRun"},
		{"/v1/jobs", ""},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, tt.path, nil)
			r.Header.Set("Authorization", "Bearer token")
			w := httptest.NewRecorder()
			api.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(caller.HeaderOutcome), tt.outcome)
			assert.Equal(t, w.Header().Get("Retry-After"), "1")
		})
	}
}
