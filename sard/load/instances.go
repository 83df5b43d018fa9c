package load

import (
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
)

// routeTimeout is the usual timeout of the routes in measurements.
const routeTimeout = 2 * time.Second

// requestPath is the path of idempotent requests.
const requestPath = "/price/x"

// notRepeatedPath is the path of requests that must not be repeated.
const notRepeatedPath = "/settle/x"

// joinDelay is how long a new instance waits before it opens connections.
const joinDelay = 50 * time.Millisecond

// newDocument returns an environment document with two client accounts, an idempotent route and a route that must not
// be repeated. maxWaiting is its limit MaxWaitingRequests, timeout that of both routes.
func newDocument(maxWaiting int, timeout time.Duration) *envdoc.Document {
	return &envdoc.Document{
		Accounts: []envdoc.Account{{Name: "a"}, {Name: "b"}},
		Routes: []envdoc.Route{
			{Name: "price", Path: "/price", Timeout: ident.Duration(timeout)},
			{Name: "settle", Path: "/settle", Class: ident.NotRepeated, Timeout: ident.Duration(timeout)},
		},
		Limits: envdoc.Limits{MaxWaitingRequests: maxWaiting},
	}
}

// instances is the set of instances of a measurement, each with only its router. They share the same backend servers.
type instances struct {
	routers  []*route.Router
	names    []ident.Instance
	registry *prometheus.Registry
}

// startInstances creates count routers and waits until they have joined. The metrics of all routers are collected in
// one registry, labelled by instance.
func startInstances(count int, servers []fleet.Server, document *envdoc.Document) *instances {
	in := &instances{registry: prometheus.NewRegistry()}
	for i := range count {
		in.names = append(in.names, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	for _, name := range in.names {
		labels := prometheus.WrapRegistererWith(prometheus.Labels{"Instance": string(name)}, in.registry)
		r := route.New(route.Config{Instance: name, JoinDelay: joinDelay, LostInstanceGrace: time.Second, Registerer: labels})
		r.SetDocument(document)
		r.SetServers(servers)
		r.SetInstances(name, in.names)
		in.routers = append(in.routers, r)
	}
	time.Sleep(2 * joinDelay)
	return in
}

// stop closes the routers.
func (in *instances) stop() {
	for _, r := range in.routers {
		r.Close()
	}
}

// counter returns the sum of a Prometheus counter over all instances. If value is not empty, only series with this
// label value are counted.
func (in *instances) counter(name, value string) float64 {
	families, err := in.registry.Gather()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			if value == "" || slices.ContainsFunc(m.GetLabel(), func(l labelPair) bool { return l.GetValue() == value }) {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}
