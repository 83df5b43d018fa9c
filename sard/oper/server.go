package oper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/intake"
)

// defaultHistoryLimit is the number of versions listed when the call gives no limit.
const defaultHistoryLimit = 10

// Config configures a Server. All fields are required.
type Config struct {
	Tokens       *creds.Tokens
	Agent        *config.Agent
	Jobs         gang.JobService
	StatusSource StatusSource
	Drainer      Drainer
}

// Server serves the API of operators.
type Server struct{ cfg Config }

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Register adds the routes of the API to e.
func (s *Server) Register(e *echo.Echo) {
	requireOperator := s.cfg.Tokens.RequireOperator
	e.GET(PathDocument, s.document, requireOperator)
	e.PUT(PathDocument, s.propose, requireOperator)
	e.GET(PathHistory, s.history, requireOperator)
	e.GET(PathVersions+"/:n", s.version, requireOperator)
	e.POST(PathCheck, s.check, requireOperator)
	e.POST(PathRestore, s.restore, requireOperator)
	e.POST(PathPromote, s.promote, requireOperator)
	e.GET(PathProof, s.proof, requireOperator)
	e.GET(PathStatus, s.status, requireOperator)
	e.POST(PathDrain, s.drain, requireOperator)
	e.GET(PathJobs, s.jobs, requireOperator)
	e.GET(PathJobs+"/:id/explain", s.explain, requireOperator)
}

// document handles GET PathDocument: it returns the configuration document in force.
func (s *Server) document(c echo.Context) error {
	current := s.cfg.Agent.Current()
	if current.Version == 0 {
		return writeError(c, fault.New(fault.NotFound, "read document", "", "no document is in force"))
	}
	return c.JSON(http.StatusOK, DocumentView{
		Head: current.Head, Since: current.Since, Document: current.Content, Plan: current.Plan, Proof: current.Proof,
	})
}

// propose handles PUT PathDocument: it proposes a configuration document as a new version.
func (s *Server) propose(c echo.Context) error {
	basedOn, err := parseVersion(strings.Trim(c.Request().Header.Get(HeaderIfMatch), `"`))
	if err != nil {
		return writeError(c, err)
	}
	content, err := readBody(c)
	if err != nil {
		return writeError(c, err)
	}
	return s.proposeVersion(c, config.Proposal{
		Content: content, BasedOn: basedOn, Token: ident.WriteToken(c.Request().Header.Get(HeaderWriteToken)),
	})
}

// restore handles POST PathRestore: it proposes the content of an earlier version as a new version.
func (s *Server) restore(c echo.Context) error {
	req, err := decodeBody[RestoreRequest](c)
	if err != nil {
		return writeError(c, err)
	}
	if req.Version == 0 {
		return writeError(c, fault.New(fault.Invalid, "read call", "", "Version is required"))
	}
	return s.proposeVersion(c, config.Proposal{Restore: req.Version, BasedOn: req.BasedOn, Token: req.Token})
}

// promote handles POST PathPromote: it proposes a document together with its proof from a trial environment.
func (s *Server) promote(c echo.Context) error {
	req, err := decodeBody[PromoteRequest](c)
	if err != nil {
		return writeError(c, err)
	}
	return s.proposeVersion(c, config.Proposal{Content: req.Document, BasedOn: req.BasedOn, Token: req.Token, Proof: &req.Proof})
}

// proposeVersion proposes a new version in the name of the calling operator.
func (s *Server) proposeVersion(c echo.Context, p config.Proposal) error {
	p.Author = creds.OperatorOf(c)
	verdict, err := s.cfg.Agent.Propose(c.Request().Context(), p)
	return writeResult(c, verdict, err)
}

// check handles POST PathCheck: it returns the result that proposing a document would have.
func (s *Server) check(c echo.Context) error {
	content, err := readBody(c)
	if err != nil {
		return writeError(c, err)
	}
	verdict, err := s.cfg.Agent.Check(c.Request().Context(), config.Proposal{Content: content, Author: creds.OperatorOf(c)})
	return writeResult(c, verdict, err)
}

// history handles GET PathHistory: it lists the latest versions of the document, as many as the optional query
// parameter Limit says.
func (s *Server) history(c echo.Context) error {
	limit := defaultHistoryLimit
	if text := c.QueryParam("Limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > config.MaxHistory {
			return writeError(c, fault.New(fault.Invalid, "read call", "", "Limit must be between 1 and %d", config.MaxHistory))
		}
		limit = parsed
	}
	records, err := s.cfg.Agent.History(c.Request().Context(), limit)
	return writeResult(c, records, err)
}

// version handles GET PathVersions/:n: it returns version n of the document.
func (s *Server) version(c echo.Context) error {
	version, err := parseVersion(c.Param("n"))
	if err != nil {
		return writeError(c, err)
	}
	record, err := s.cfg.Agent.ReadVersion(c.Request().Context(), version)
	return writeResult(c, record, err)
}

// proof handles GET PathProof: it issues the proof for the document in force.
func (s *Server) proof(c echo.Context) error {
	proof, err := s.cfg.Agent.Prove(c.Request().Context(), creds.OperatorOf(c))
	return writeResult(c, proof, err)
}

// status handles GET PathStatus: it returns the state of the whole system.
func (s *Server) status(c echo.Context) error {
	view, err := s.cfg.StatusSource.Status(c.Request().Context())
	return writeResult(c, view, err)
}

// drain handles POST PathDrain: it starts the graceful shutdown of an instance.
func (s *Server) drain(c echo.Context) error {
	req, err := decodeBody[DrainRequest](c)
	if err != nil {
		return writeError(c, err)
	}
	if err := s.cfg.Drainer.Drain(c.Request().Context(), req.Instance); err != nil {
		return writeError(c, err)
	}
	return c.NoContent(http.StatusAccepted)
}

// jobs handles GET PathJobs: it lists the jobs of the client account that the query parameter Account names.
func (s *Server) jobs(c echo.Context) error {
	views, err := s.cfg.Jobs.List(c.Request().Context(), ident.Account(c.QueryParam("Account")))
	return writeResult(c, caller.JobList{Jobs: views}, err)
}

// explain handles GET PathJobs/:id/explain: it explains why a job of any account waits, or where and why it was placed.
func (s *Server) explain(c echo.Context) error {
	explanation, err := s.cfg.Jobs.Explain(c.Request().Context(), "", ident.Job(c.Param("id")))
	return writeResult(c, explanation, err)
}

// writeResult writes v as JSON, or an error response when err is set.
func writeResult(c echo.Context, v any, err error) error {
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

// parseVersion parses the decimal number of a version.
func parseVersion(text string) (ident.Version, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "read call", "", "%q is not a version: it must be an integer of 0 or more", text)
	}
	return ident.Version(n), nil
}

// readBody reads a request body of at most MaxBodyBytes.
func readBody(c echo.Context) ([]byte, error) {
	body, err := intake.ReadAll(c.Request(), operatorsAccount, MaxBodyBytes)
	switch {
	case intake.IsRefusal(err):
		return nil, fault.Wrap(err, fault.Unavailable, "read call", "").WithRetryAfter(intake.RetryAfter)
	case err != nil:
		return nil, fault.Wrap(err, fault.Invalid, "read call", "")
	}
	return body, nil
}

// operatorsAccount is the account that the bodies of operators' calls count for.
const operatorsAccount ident.Account = "operators"

// decodeBody decodes a JSON request body and rejects unknown keys.
func decodeBody[T any](c echo.Context) (T, error) {
	var v T
	body, err := readBody(c)
	if err != nil {
		return v, err
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, fault.Wrap(err, fault.Invalid, "read call", "")
	}
	return v, nil
}
