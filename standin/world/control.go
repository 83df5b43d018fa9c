package world

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/tables"
)

// controlHandler returns the handler of the control interface, with which tests inject faults, register instances and
// read what was executed.
func (p *Platform) controlHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/v1/ledger", p.getLedger)
	e.POST("/v1/expected", p.postExpected)
	e.GET("/v1/faults", p.getFaults)
	e.POST("/v1/faults", p.postFault)
	e.DELETE("/v1/faults", p.deleteFaults)
	e.POST("/v1/instances", p.postInstance)
	e.DELETE("/v1/instances/:name", p.deleteInstance)
	e.GET("/v1/counts", p.getCounts)
	return e
}

// FaultRequest is the request body of POST /v1/faults. It injects or clears a fault, and the response is a FaultsReply.
type FaultRequest struct {
	faults.Fault
	// Off clears the fault instead of injecting it.
	Off bool
}

// FaultsReply lists the active faults and holds the number of calls affected so far, by fault type.
type FaultsReply struct {
	Faults []faults.Fault
	Drawn  map[string]uint64
}

// CountsReply holds the number of calls that the table service has processed, by API operation.
type CountsReply struct {
	Table tables.Counts
}

// decodeBody decodes the JSON body of a request regardless of its content type. It rejects unknown fields.
func decodeBody(c echo.Context, request any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

func (p *Platform) getLedger(c echo.Context) error {
	report := p.Ledger.Report()
	if c.QueryParam("totals") != "" {
		return c.JSON(http.StatusOK, report.Totals)
	}
	return c.JSON(http.StatusOK, report)
}

func (p *Platform) postExpected(c echo.Context) error {
	var expected ledger.Expected
	if err := decodeBody(c, &expected); err != nil {
		return err
	}
	p.Ledger.AddExpected(expected)
	return c.JSON(http.StatusOK, p.Ledger.Report().Totals)
}

func (p *Platform) getFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, FaultsReply{Faults: p.Faults.List(), Drawn: p.Faults.TriggerCounts()})
}

func (p *Platform) postFault(c echo.Context) error {
	var request FaultRequest
	if err := decodeBody(c, &request); err != nil {
		return err
	}
	if request.Off {
		p.Faults.Clear(request.Fault)
		return p.getFaults(c)
	}
	if err := p.Faults.Inject(request.Fault); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return p.getFaults(c)
}

func (p *Platform) deleteFaults(c echo.Context) error {
	p.Faults.ClearAll()
	return p.getFaults(c)
}

func (p *Platform) postInstance(c echo.Context) error {
	var instance fleet.Instance
	if err := decodeBody(c, &instance); err != nil {
		return err
	}
	if instance.Name == "" || instance.Address == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "Name and Address are needed")
	}
	p.Fleet.Register(instance)
	return c.JSON(http.StatusOK, p.Fleet.Current().Instances)
}

func (p *Platform) deleteInstance(c echo.Context) error {
	p.Fleet.Remove(ident.Instance(c.Param("name")))
	return c.JSON(http.StatusOK, p.Fleet.Current().Instances)
}

func (p *Platform) getCounts(c echo.Context) error {
	return c.JSON(http.StatusOK, CountsReply{Table: p.Table.Counts()})
}
