package intake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// idleTimeout is how long a connection may stay open between two requests.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a header, and maxHeaderFields the number of its fields: many small fields take far
	// more memory than their bytes.
	maxHeaderBytes  = 16 << 10
	maxHeaderFields = 100
)

// Config configures a Guard.
type Config struct {
	// Name is the name of the listener in metrics and logs.
	Name   string
	Limits Limits
	// HeaderTimeout is how long the header of a request may take.
	HeaderTimeout time.Duration
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger receives the log; nil disables logging.
	Logger hclog.Logger
}

// Guard bounds what the clients of one listener can make the process hold. A nil Guard bounds nothing.
type Guard struct {
	config  Config
	conns   connTable
	bodies  budget
	serving *serving
	reports [causeCount]report
	refused refusals
}

// New returns a Guard.
func New(config Config) *Guard {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	g := &Guard{
		config:  config,
		conns:   connTable{limit: config.Limits.Connections},
		bodies:  budget{limit: config.Limits.BodyBytes, byAccount: map[ident.Account]int64{}},
		serving: newServing(config.Limits.ServingBytes),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(newCollector(g))
	}
	return g
}

// Server returns a server for the connections of Listener.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.handler(handler),
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.connState,
		ConnContext:       g.connContext,
		ErrorLog:          g.config.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// connKey is the key of the conn in the context of a request.
type connKey struct{}

// connContext adds the conn to the context of its requests.
func (g *Guard) connContext(ctx context.Context, under net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, under)
}

// connState follows the state of a connection.
func (g *Guard) connState(under net.Conn, state http.ConnState) {
	if c, ok := under.(*conn); ok && state == http.StateIdle {
		g.conns.move(c, Idle, nil)
	}
}

// handler returns a handler that guards the requests of another one.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if fieldCount(r.Header) > maxHeaderFields {
			g.refuseHeader(c, w, r)
			return
		}
		if c.retired.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.Body == nil || r.Body == http.NoBody {
			g.conns.begin(c, nil)
			next.ServeHTTP(w, r)
			return
		}
		e := newExchange(c, w, r)
		g.conns.begin(c, e)
		defer e.end()
		next.ServeHTTP(e, r)
	})
}

// fieldCount returns the number of fields of a header.
func fieldCount(h http.Header) int {
	count := 0
	for _, values := range h {
		count += len(values)
	}
	return count
}

// refuseHeader responds to a request with too many header fields. Its body is not read, and its header is given up at once, as it
// may be large.
func (g *Guard) refuseHeader(c *conn, w http.ResponseWriter, r *http.Request) {
	g.note(TooManyHeaderFields)
	r.Header = nil
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	c.linger()
}
