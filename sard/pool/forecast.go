package pool

import "github.com/sardineline/sardineline/sard/fcast"

// forecast returns the forecast run time of a group's attempt that starts from the beginning, on workers of normal speed.
func (e *Engine) forecast(g *group) fcast.Forecast {
	return fcast.Forecast{Typical: g.spec().Estimate, High: g.spec().Estimate}
}
