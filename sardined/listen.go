package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/intake"
)

// headerTimeout limits the time to read the header of an HTTP request.
const headerTimeout = 10 * time.Second

// listener is an HTTP server and its listening socket.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// peerListenerName is the name of the listener of the peer link. Only the traffic of this listener is counted.
const peerListenerName = "peers"

// openListener opens a listening socket for h. A nil tlsConfig means HTTP without TLS, and a nil guard that the other side is
// trusted.
func (d *daemon) openListener(name, address string, h http.Handler, tlsConfig *tls.Config, guard *intake.Guard) (*listener, error) {
	socket, err := d.network.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen for "+name, address)
	}
	if guard != nil {
		return &listener{name: name, socket: guard.Listener(socket, tlsConfig), server: guard.Server(h)}, nil
	}
	if name == peerListenerName {
		socket = countedListener{Listener: socket, traffic: d.traffic, peer: "instance"}
	}
	if tlsConfig != nil {
		socket = tls.NewListener(socket, tlsConfig)
	}
	return &listener{name: name, socket: socket, server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}}, nil
}

// newGuard returns a guard of what clients of a listener can make the process hold.
func (d *daemon) newGuard(name string, limits intake.Limits) *intake.Guard {
	return intake.New(intake.Config{
		Name: name, Limits: limits, HeaderTimeout: headerTimeout, Registerer: d.registry, Logger: d.log.Named("intake"),
	})
}

// serve serves HTTP requests until the listener is closed.
func (l *listener) serve() error {
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, fault.Unavailable, "serve "+l.name, l.socket.Addr().String())
}

// close stops listening and waits for the requests in progress. If ctx ends first, it closes their connections and
// returns an error.
func (l *listener) close(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

// registerHealth adds the health checks /livez and /readyz to the routes of e.
func (d *daemon) registerHealth(e *echo.Echo) {
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if err := d.checkReady(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
}

// registerMetrics adds /metrics, which returns the Prometheus metrics, to the routes of e.
func (d *daemon) registerMetrics(e *echo.Echo) {
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
}
