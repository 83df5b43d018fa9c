// Package creds authenticates HTTP requests of client accounts and operators by bearer tokens, and loads TLS
// configurations from files.
package creds

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// TokenEntry is an entry of a token file: the SHA-256 of a token and its owner.
type TokenEntry struct {
	// Sha256 is the lower-case hexadecimal SHA-256 of the token.
	Sha256 string `yaml:"Sha256"`
	// Account is the client account that may use the token; empty for operators.
	Account ident.Account `yaml:"Account"`
	// Operator is the operator's name; empty for client accounts.
	Operator string `yaml:"Operator"`
}

// Tokens holds the bearer tokens of client accounts and operators. The zero value accepts no token.
type Tokens struct{ entries []TokenEntry }

// NewTokens creates Tokens from entries. It fails if an entry has an invalid hash, or not exactly one of Account and
// Operator.
func NewTokens(entries []TokenEntry) (*Tokens, error) {
	for _, e := range entries {
		if (e.Account == "") == (e.Operator == "") {
			return nil, fault.New(fault.Invalid, "read tokens", "", "token %.8s… must have either Account or Operator", e.Sha256)
		}
		if raw, err := hex.DecodeString(e.Sha256); err != nil || len(raw) != sha256.Size {
			return nil, fault.New(fault.Invalid, "read tokens", "", "%q is not a hexadecimal SHA-256 hash", e.Sha256)
		}
	}
	return &Tokens{entries: entries}, nil
}

// LoadTokens reads a token file, which is a YAML list of TokenEntry.
func LoadTokens(path string) (*Tokens, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read tokens", "")
	}
	var entries []TokenEntry
	if err := yaml.UnmarshalWithOptions(text, &entries, yaml.Strict()); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read tokens", "")
	}
	return NewTokens(entries)
}

// HashToken returns the lower-case hexadecimal SHA-256 of a token, as in TokenEntry.Sha256.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// lookup returns the entry of the bearer token of a request. Hashes are compared in constant time.
func (t *Tokens) lookup(r *http.Request) (TokenEntry, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return TokenEntry{}, false
	}
	hash := HashToken(token)
	for _, e := range t.entries {
		if subtle.ConstantTimeCompare([]byte(e.Sha256), []byte(hash)) == 1 {
			return e, true
		}
	}
	return TokenEntry{}, false
}

// Keys of the values that the middleware sets in the echo context.
const (
	accountContextKey  = "Account"
	operatorContextKey = "Operator"
)

// RequireAccount is middleware that rejects requests without a token of a client account with 401.
func (t *Tokens) RequireAccount(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e, ok := t.lookup(c.Request())
		if !ok || e.Account == "" {
			return rejectUnauthorized(c)
		}
		c.Set(accountContextKey, e.Account)
		return next(c)
	}
}

// RequireOperator is middleware that rejects requests without a token of an operator with 401.
func (t *Tokens) RequireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e, ok := t.lookup(c.Request())
		if !ok || e.Operator == "" {
			return rejectUnauthorized(c)
		}
		c.Set(operatorContextKey, e.Operator)
		return next(c)
	}
}

// AccountOf returns the client account that RequireAccount has authenticated for a request; empty if there is none.
func AccountOf(c echo.Context) ident.Account {
	account, _ := c.Get(accountContextKey).(ident.Account)
	return account
}

// OperatorOf returns the name of the operator that RequireOperator has authenticated for a request; empty if there is
// none.
func OperatorOf(c echo.Context) string {
	name, _ := c.Get(operatorContextKey).(string)
	return name
}

// rejectUnauthorized returns the error for a request without a valid token.
func rejectUnauthorized(c echo.Context) error {
	c.Response().Header().Set("WWW-Authenticate", "Bearer")
	return echo.NewHTTPError(http.StatusUnauthorized, "a valid bearer token is required")
}
