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

// control serves the ledger and the switches.
func (w *Platform) control() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/v1/ledger", w.getLedger)
	e.POST("/v1/expected", w.postExpected)
	e.GET("/v1/faults", w.getFaults)
	e.POST("/v1/faults", w.postFault)
	e.DELETE("/v1/faults", w.deleteFaults)
	e.POST("/v1/instances", w.postInstance)
	e.DELETE("/v1/instances/:name", w.deleteInstance)
	e.GET("/v1/counts", w.getCounts)
	return e
}

// FaultRequest switches a fault. The answer is a FaultsReply.
type FaultRequest struct {
	faults.Fault
	// Off turns the fault off.
	Off bool
}

// FaultsReply tells which faults are on and how many calls met each kind.
type FaultsReply struct {
	Faults []faults.Fault
	Drawn  map[string]uint64
}

// CountsReply tells the calls of the table by operation.
type CountsReply struct {
	Table tables.Counts
}

// read decodes a body strictly, whatever its content type says.
func read(c echo.Context, in any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

func (w *Platform) getLedger(c echo.Context) error {
	report := w.Ledger.Report()
	if c.QueryParam("totals") != "" {
		return c.JSON(http.StatusOK, report.Totals)
	}
	return c.JSON(http.StatusOK, report)
}

func (w *Platform) postExpected(c echo.Context) error {
	var in ledger.Expected
	if err := read(c, &in); err != nil {
		return err
	}
	w.Ledger.AddExpected(in)
	return c.JSON(http.StatusOK, w.Ledger.Report().Totals)
}

func (w *Platform) getFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, FaultsReply{Faults: w.Faults.List(), Drawn: w.Faults.TriggerCounts()})
}

func (w *Platform) postFault(c echo.Context) error {
	var in FaultRequest
	if err := read(c, &in); err != nil {
		return err
	}
	if in.Off {
		w.Faults.Clear(in.Fault)
		return w.getFaults(c)
	}
	if err := w.Faults.Inject(in.Fault); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return w.getFaults(c)
}

func (w *Platform) deleteFaults(c echo.Context) error {
	w.Faults.ClearAll()
	return w.getFaults(c)
}

func (w *Platform) postInstance(c echo.Context) error {
	var in fleet.Instance
	if err := read(c, &in); err != nil {
		return err
	}
	if in.Name == "" || in.Address == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "Name and Address are needed")
	}
	w.Fleet.Register(in)
	return c.JSON(http.StatusOK, w.Fleet.Current().Instances)
}

func (w *Platform) deleteInstance(c echo.Context) error {
	w.Fleet.Remove(ident.Instance(c.Param("name")))
	return c.JSON(http.StatusOK, w.Fleet.Current().Instances)
}

func (w *Platform) getCounts(c echo.Context) error {
	return c.JSON(http.StatusOK, CountsReply{Table: w.Table.Counts()})
}
