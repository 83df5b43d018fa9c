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

// timeout is the timeout of the measured routes.
const timeout = 2 * time.Second

// path is the path of measured requests.
const path = "/price/x"

// settlePath is the path of measured requests that are not to be repeated.
const settlePath = "/settle/x"

// joinDelay is the instances' delay before they share connections.
const joinDelay = 50 * time.Millisecond

func documentOf(maxWaiting int, timeout time.Duration) *envdoc.Document {
	return &envdoc.Document{
		Accounts: []envdoc.Account{{Name: "a"}, {Name: "b"}},
		Routes: []envdoc.Route{
			{Name: "price", Path: "/price", Timeout: ident.Duration(timeout)},
			{Name: "settle", Path: "/settle", Class: ident.NotRepeated, Timeout: ident.Duration(timeout)},
		},
		Limits: envdoc.Limits{MaxWaitingRequests: maxWaiting},
	}
}

// instances are routers that share servers.
type instances struct {
	routers  []*route.Router
	names    []ident.Instance
	registry *prometheus.Registry
}

// startInstances makes routers and waits until they have joined. The metrics are those of the first.
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

func (in *instances) stop() {
	for _, r := range in.routers {
		r.Close()
	}
}

// counter sums a counter over all instances and labels, or over those with the label value.
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
