package oper_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/table"
)

// document is a minimal valid configuration document.
const document = "Accounts: [{Name: north}]"

// newAPI returns the API in front of a config agent with an empty store. The token "operator" belongs to the operator
// ana, the token "account" to a client account.
func newAPI(t *testing.T) *echo.Echo {
	t.Helper()
	tokens, err := creds.NewTokens([]creds.TokenEntry{
		{Sha256: creds.HashToken("operator"), Operator: "ana"},
		{Sha256: creds.HashToken("account"), Account: "north"},
	})
	assert.NilError(t, err)
	e := echo.New()
	agent := config.New(config.Config{Store: &table.Memory{}})
	oper.New(oper.Config{Tokens: tokens, Agent: agent}).Register(e)
	return e
}

// TestOperatorAPI sends a sequence of requests to one API; each depends on the versions that earlier ones created.
func TestOperatorAPI(t *testing.T) {
	e := newAPI(t)
	put := http.Header{oper.HeaderIfMatch: {`"0"`}, oper.HeaderWriteToken: {"t"}}
	tests := []struct {
		name   string
		method string
		path   string
		token  string
		header http.Header
		body   string
		status int
		want   string
	}{
		{"no token", http.MethodGet, oper.PathDocument, "", nil, "", http.StatusUnauthorized, ""},
		{"a client account's token", http.MethodPut, oper.PathDocument, "account", put, document, http.StatusUnauthorized, ""},
		{"no document in force", http.MethodGet, oper.PathDocument, "operator", nil, "", http.StatusNotFound, `"Kind":"NotFound"`},
		{"no version", http.MethodPut, oper.PathDocument, "operator", nil, document, http.StatusBadRequest, "is not a version"},
		{"no write token", http.MethodPut, oper.PathDocument, "operator", http.Header{oper.HeaderIfMatch: {`"0"`}}, document, http.StatusBadRequest, "a token is needed"},
		{"invalid document", http.MethodPut, oper.PathDocument, "operator", put, "Acounts: 1", http.StatusBadRequest, `"Line":1,"Column":1,"Path":"Acounts"`},
		{"too large", http.MethodPut, oper.PathDocument, "operator", put, strings.Repeat("#", oper.MaxBodyBytes+1), http.StatusBadRequest, "too large"},
		{"check", http.MethodPost, oper.PathCheck, "operator", nil, document, http.StatusOK, `"Version":1`},
		{"accept", http.MethodPut, oper.PathDocument, "operator", put, document, http.StatusOK, `"Author":"ana"`},
		{"accept repeated", http.MethodPut, oper.PathDocument, "operator", put, document, http.StatusOK, `"Version":1`},
		{"conflict", http.MethodPut, oper.PathDocument, "operator", http.Header{oper.HeaderIfMatch: {`"0"`}, oper.HeaderWriteToken: {"u"}}, "Accounts: [{Name: south}]", http.StatusConflict, `"Winner":{"Version":1`},
		{"in force", http.MethodGet, oper.PathDocument, "operator", nil, "", http.StatusOK, `"Document":{"Objective"`},
		{"history", http.MethodGet, oper.PathHistory, "operator", nil, "", http.StatusOK, `"BasedOn":0`},
		{"history out of bounds", http.MethodGet, oper.PathHistory + "?Limit=0", "operator", nil, "", http.StatusBadRequest, "Limit must be"},
		{"unknown version", http.MethodGet, oper.PathVersions + "/7", "operator", nil, "", http.StatusNotFound, "version 7"},
		{"unknown key", http.MethodPost, oper.PathRestore, "operator", nil, `{"OldVersion":1}`, http.StatusBadRequest, "OldVersion"},
		{"restore without version", http.MethodPost, oper.PathRestore, "operator", nil, `{}`, http.StatusBadRequest, "Version is required"},
		{"proof", http.MethodGet, oper.PathProof, "operator", nil, "", http.StatusOK, `"Instances":1`},
		{"promote without proof", http.MethodPost, oper.PathPromote, "operator", nil, `{"Document":{"Accounts":[{"Name":"south"}]},"BasedOn":1,"Token":"p"}`, http.StatusForbidden, "the proof is of digest"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			for name, values := range tt.header {
				r.Header[name] = values
			}
			r.Header.Set("Authorization", "Bearer "+tt.token)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.status, w.Body.String())
			assert.Assert(t, strings.Contains(w.Body.String(), tt.want), w.Body.String())
		})
	}
}
