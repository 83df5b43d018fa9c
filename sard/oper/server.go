package oper

import (
	"encoding/json"
	"io"
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
)

// defaultHistory is the number of versions that are listed when the call names none.
const defaultHistory = 10

// Config sets up a Server. All fields are needed.
type Config struct {
	Tokens       *creds.Tokens
	Agent        *config.Agent
	Jobs         gang.JobService
	StatusSource StatusSource
	Drainer      Drainer
}

// Server serves the API of operators.
type Server struct{ cfg Config }

// New makes a Server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Register adds the API's routes to e.
func (s *Server) Register(e *echo.Echo) {
	only := s.cfg.Tokens.RequireOperator
	e.GET(PathDocument, s.document, only)
	e.PUT(PathDocument, s.propose, only)
	e.GET(PathHistory, s.history, only)
	e.GET(PathVersions+"/:n", s.version, only)
	e.POST(PathCheck, s.check, only)
	e.POST(PathRestore, s.restore, only)
	e.POST(PathPromote, s.promote, only)
	e.GET(PathProof, s.proof, only)
	e.GET(PathStatus, s.status, only)
	e.POST(PathDrain, s.drain, only)
	e.GET(PathJobs, s.jobs, only)
	e.GET(PathJobs+"/:id/explain", s.explain, only)
}

func (s *Server) document(c echo.Context) error {
	current := s.cfg.Agent.Current()
	if current.Version == 0 {
		return reply(c, fault.New(fault.NotFound, "read document", "", "no document is in force"))
	}
	return c.JSON(http.StatusOK, DocumentView{
		Head: current.Head, Since: current.Since, Document: current.Content, Plan: current.Plan, Proof: current.Proof,
	})
}

func (s *Server) propose(c echo.Context) error {
	basedOn, err := parseVersion(strings.Trim(c.Request().Header.Get(HeaderIfMatch), `"`))
	if err != nil {
		return reply(c, err)
	}
	content, err := readBody(c)
	if err != nil {
		return reply(c, err)
	}
	return s.accept(c, config.Proposal{
		Content: content, BasedOn: basedOn, Token: ident.WriteToken(c.Request().Header.Get(HeaderWriteToken)),
	})
}

func (s *Server) restore(c echo.Context) error {
	req, err := bind[RestoreRequest](c)
	if err != nil {
		return reply(c, err)
	}
	if req.Version == 0 {
		return reply(c, fault.New(fault.Invalid, "read call", "", "Version is needed"))
	}
	return s.accept(c, config.Proposal{Restore: req.Version, BasedOn: req.BasedOn, Token: req.Token})
}

func (s *Server) promote(c echo.Context) error {
	req, err := bind[PromoteRequest](c)
	if err != nil {
		return reply(c, err)
	}
	return s.accept(c, config.Proposal{Content: req.Document, BasedOn: req.BasedOn, Token: req.Token, Proof: &req.Proof})
}

func (s *Server) accept(c echo.Context, p config.Proposal) error {
	p.Author = creds.OperatorOf(c)
	verdict, err := s.cfg.Agent.Propose(c.Request().Context(), p)
	return answer(c, verdict, err)
}

func (s *Server) check(c echo.Context) error {
	content, err := readBody(c)
	if err != nil {
		return reply(c, err)
	}
	verdict, err := s.cfg.Agent.Check(c.Request().Context(), config.Proposal{Content: content, Author: creds.OperatorOf(c)})
	return answer(c, verdict, err)
}

func (s *Server) history(c echo.Context) error {
	n := defaultHistory
	if text := c.QueryParam("Limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > config.MaxHistory {
			return reply(c, fault.New(fault.Invalid, "read call", "", "Limit must be 1 to %d", config.MaxHistory))
		}
		n = limit
	}
	records, err := s.cfg.Agent.History(c.Request().Context(), n)
	return answer(c, records, err)
}

func (s *Server) version(c echo.Context) error {
	version, err := parseVersion(c.Param("n"))
	if err != nil {
		return reply(c, err)
	}
	rec, err := s.cfg.Agent.ReadVersion(c.Request().Context(), version)
	return answer(c, rec, err)
}

func (s *Server) proof(c echo.Context) error {
	proof, err := s.cfg.Agent.Prove(c.Request().Context(), creds.OperatorOf(c))
	return answer(c, proof, err)
}

func (s *Server) status(c echo.Context) error {
	view, err := s.cfg.StatusSource.Status(c.Request().Context())
	return answer(c, view, err)
}

func (s *Server) drain(c echo.Context) error {
	req, err := bind[DrainRequest](c)
	if err != nil {
		return reply(c, err)
	}
	if err := s.cfg.Drainer.Drain(c.Request().Context(), req.Instance); err != nil {
		return reply(c, err)
	}
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) jobs(c echo.Context) error {
	views, err := s.cfg.Jobs.List(c.Request().Context(), ident.Account(c.QueryParam("Account")))
	return answer(c, caller.JobList{Jobs: views}, err)
}

func (s *Server) explain(c echo.Context) error {
	explanation, err := s.cfg.Jobs.Explain(c.Request().Context(), "", ident.Job(c.Param("id")))
	return answer(c, explanation, err)
}

// answer writes v, or err when there is one.
func answer(c echo.Context, v any, err error) error {
	if err != nil {
		return reply(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

func parseVersion(text string) (ident.Version, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "read call", "", "%q is no version: a whole number of 0 or more is needed", text)
	}
	return ident.Version(n), nil
}

func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read call", "")
	}
	return body, nil
}

func bind[T any](c echo.Context) (T, error) {
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
