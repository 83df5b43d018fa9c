// Package creds holds bearer tokens and TLS settings.
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

// TokenEntry is one line of a token file: the SHA-256 of a token and whose it is.
type TokenEntry struct {
	// Sha256 is the lower-case hexadecimal SHA-256 of the token.
	Sha256 string `yaml:"Sha256"`
	// Account is the client account that may use the token; empty for operators.
	Account ident.Account `yaml:"Account"`
	// Operator is the operator's name; empty for client accounts.
	Operator string `yaml:"Operator"`
}

// Tokens knows the bearer tokens of client accounts and operators. The zero value knows none.
type Tokens struct{ entries []TokenEntry }

// NewTokens makes Tokens from entries. It fails on an entry that is for neither or both.
func NewTokens(entries []TokenEntry) (*Tokens, error) {
	for _, e := range entries {
		if (e.Account == "") == (e.Operator == "") {
			return nil, fault.New(fault.Invalid, "read tokens", "", "token %.8s… needs either Account or Operator", e.Sha256)
		}
		if raw, err := hex.DecodeString(e.Sha256); err != nil || len(raw) != sha256.Size {
			return nil, fault.New(fault.Invalid, "read tokens", "", "%q is not a SHA-256 in hexadecimal", e.Sha256)
		}
	}
	return &Tokens{entries: entries}, nil
}

// LoadTokens reads a token file: YAML, a list of Entry.
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

// HashToken returns the hexadecimal SHA-256 of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (t *Tokens) find(r *http.Request) (TokenEntry, bool) {
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

const (
	accountKey  = "Account"
	operatorKey = "Operator"
)

// RequireAccount lets only client accounts pass; others get 401.
func (t *Tokens) RequireAccount(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e, ok := t.find(c.Request())
		if !ok || e.Account == "" {
			return unauthorized(c)
		}
		c.Set(accountKey, e.Account)
		return next(c)
	}
}

// RequireOperator lets only operators pass; others get 401.
func (t *Tokens) RequireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e, ok := t.find(c.Request())
		if !ok || e.Operator == "" {
			return unauthorized(c)
		}
		c.Set(operatorKey, e.Operator)
		return next(c)
	}
}

// AccountOf returns the client account that RequireAccount has let pass.
func AccountOf(c echo.Context) ident.Account {
	account, _ := c.Get(accountKey).(ident.Account)
	return account
}

// OperatorOf returns the operator that RequireOperator has let pass.
func OperatorOf(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}

func unauthorized(c echo.Context) error {
	c.Response().Header().Set("WWW-Authenticate", "Bearer")
	return echo.NewHTTPError(http.StatusUnauthorized, "a bearer token is needed")
}
