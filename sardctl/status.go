package main

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
)

// statusCommand implements "sardctl status".
type statusCommand struct{ session *session }

// Execute prints the state of the instances and domains, and the guarantees that lack capacity.
func (c *statusCommand) Execute([]string) error {
	view, err := fetch[oper.StatusView](c.session, newGetCall(oper.PathStatus))
	if err != nil {
		return err
	}
	return c.session.print(view, func(w *tableWriter) {
		printInstances(w, view)
		w.startSection()
		printDomains(w, view)
		w.startSection()
		for _, s := range view.Shortages {
			w.writeRow(fmt.Sprintf("SHORT: %s lacks %d cells of %d accelerators in %s", s.Account, s.Missing, s.Accelerators, s.DataCentre))
		}
		for _, server := range view.LeavingServers {
			w.writeRow(fmt.Sprintf("LEAVING: backend server %s", server))
		}
		w.writeRow(fmt.Sprintf("broken promises: %d", view.Breaches))
	})
}

// printInstances prints a table with a row for each instance.
func printInstances(w *tableWriter, view oper.StatusView) {
	w.writeRow("INSTANCE", "DATA CENTRE", "STATE", "READY", "VERSION", "DIGEST", "IN FORCE FOR", "DOMAINS")
	for _, in := range view.Instances {
		ready := "yes"
		if in.NotReady != "" {
			ready = in.NotReady
		}
		w.writeRow(in.Name, in.DataCentre, in.State, ready, in.Version, shortenDigest(in.Digest), in.InForceFor.Std().Round(time.Millisecond), in.Domains)
	}
}

// printDomains prints a table with a row for each domain.
func printDomains(w *tableWriter, view oper.StatusView) {
	w.writeRow("DOMAIN", "HOLDER", "EPOCH", "ACCELERATORS", "FREE", "BORROWED", "WAITING", "PLACED", "FRAGMENTATION", "STRANDED")
	for _, d := range view.Domains {
		s := d.Summary
		w.writeRow(d.DataCentre, d.Holder, d.Epoch, s.Accelerators, s.Free, s.Borrowed, s.Waiting, s.Placed,
			fmt.Sprintf("%.3f", s.Fragmentation), fmt.Sprintf("%.3f", s.Stranded))
	}
}

// drainCommand implements "sardctl drain".
type drainCommand struct {
	Args struct {
		Instance ident.Instance `positional-arg-name:"INSTANCE"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute asks an instance to shut down gracefully. It does not wait for the end.
func (c *drainCommand) Execute([]string) error {
	client, ctx, cancel, err := c.session.connect()
	if err != nil {
		return err
	}
	defer cancel()
	call, err := newPostCall(oper.PathDrain, oper.DrainRequest{Instance: c.Args.Instance})
	if err != nil {
		return err
	}
	if err := client.do(ctx, call, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.session.stdout, "instance %s is draining\n", c.Args.Instance)
	return err
}
