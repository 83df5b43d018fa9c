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
)

// headerTimeout bounds the time in which a client sends the header of a request.
const headerTimeout = 10 * time.Second

// listener is an HTTP server with its socket.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// peersName is the name of the listener of the peer link, whose bytes are counted.
const peersName = "peers"

// listen opens a socket. A nil secure means plain HTTP.
func (d *daemon) listen(name, address string, h http.Handler, secure *tls.Config) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen for "+name, address)
	}
	if name == peersName {
		socket = countedListener{Listener: socket, traffic: d.traffic, peer: "instance"}
	}
	if secure != nil {
		socket = tls.NewListener(socket, secure)
	}
	return &listener{name: name, socket: socket, server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}}, nil
}

// serve serves until the listener is closed.
func (l *listener) serve() error {
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, fault.Unavailable, "serve "+l.name, l.socket.Addr().String())
}

// close stops listening and waits until the requests in flight have ended or ctx has.
func (l *listener) close(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

// registerHealth adds /livez and /readyz to e.
func (d *daemon) registerHealth(e *echo.Echo) {
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if err := d.ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
}

// registerMetrics adds /metrics to e.
func (d *daemon) registerMetrics(e *echo.Echo) {
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
}
