package creds_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/creds"
)

func TestTokens(t *testing.T) {
	tokens, err := creds.NewTokens([]creds.TokenEntry{
		{Sha256: creds.HashToken("account-token"), Account: "pricing"},
		{Sha256: creds.HashToken("operator-token"), Operator: "moana"},
	})
	assert.NilError(t, err)
	e := echo.New()
	ok := func(c echo.Context) error { return c.NoContent(http.StatusOK) }
	e.GET("/account", ok, tokens.RequireAccount)
	e.GET("/operator", ok, tokens.RequireOperator)
	tests := []struct {
		name, path, token string
		want              int
	}{
		{"account token on account route", "/account", "account-token", http.StatusOK},
		{"operator token on account route", "/account", "operator-token", http.StatusUnauthorized},
		{"operator token on operator route", "/operator", "operator-token", http.StatusOK},
		{"account token on operator route", "/operator", "account-token", http.StatusUnauthorized},
		{"unknown token", "/account", "guess", http.StatusUnauthorized},
		{"no token", "/account", "", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			if tt.token != "" {
				r.Header.Set("Authorization", "Bearer "+tt.token)
			}
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.want)
		})
	}
}

func TestNewTokensRejectsInvalidEntries(t *testing.T) {
	tests := []struct {
		name  string
		entry creds.TokenEntry
	}{
		{"neither account nor operator", creds.TokenEntry{Sha256: creds.HashToken("x")}},
		{"both account and operator", creds.TokenEntry{Sha256: creds.HashToken("x"), Account: "a", Operator: "o"}},
		{"invalid hash", creds.TokenEntry{Sha256: "abc", Account: "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := creds.NewTokens([]creds.TokenEntry{tt.entry})
			assert.ErrorContains(t, err, "read tokens")
		})
	}
}
