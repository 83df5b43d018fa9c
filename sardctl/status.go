package main

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
)

type statusCommand struct{ session *session }

// Execute shows the state of the system.
func (c *statusCommand) Execute([]string) error {
	view, err := fetch[oper.StatusView](c.session, get(oper.PathStatus))
	if err != nil {
		return err
	}
	return c.session.print(view, func(w *rows) {
		printInstances(w, view)
		w.section()
		printDomains(w, view)
		w.section()
		for _, s := range view.Shortages {
			w.row(fmt.Sprintf("SHORT: %s lacks %d cells of %d accelerators in %s", s.Account, s.Missing, s.Accelerators, s.DataCentre))
		}
		for _, server := range view.LeavingServers {
			w.row(fmt.Sprintf("LEAVING: backend server %s", server))
		}
		w.row(fmt.Sprintf("broken promises: %d", view.Breaches))
	})
}

func printInstances(w *rows, view oper.StatusView) {
	w.row("INSTANCE", "DATA CENTRE", "STATE", "READY", "VERSION", "DIGEST", "IN FORCE FOR", "DOMAINS")
	for _, in := range view.Instances {
		ready := "yes"
		if in.NotReady != "" {
			ready = in.NotReady
		}
		w.row(in.Name, in.DataCentre, in.State, ready, in.Version, short(in.Digest), in.InForceFor.Std().Round(time.Millisecond), in.Domains)
	}
}

func printDomains(w *rows, view oper.StatusView) {
	w.row("DOMAIN", "HOLDER", "EPOCH", "ACCELERATORS", "FREE", "BORROWED", "WAITING", "PLACED", "FRAGMENTATION", "STRANDED")
	for _, d := range view.Domains {
		s := d.Summary
		w.row(d.DataCentre, d.Holder, d.Epoch, s.Accelerators, s.Free, s.Borrowed, s.Waiting, s.Placed,
			fmt.Sprintf("%.3f", s.Fragmentation), fmt.Sprintf("%.3f", s.Stranded))
	}
}

type drainCommand struct {
	Args struct {
		Instance ident.Instance `positional-arg-name:"INSTANCE"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute drains an instance.
func (c *drainCommand) Execute([]string) error {
	client, ctx, cancel, err := c.session.connect()
	if err != nil {
		return err
	}
	defer cancel()
	in, err := post(oper.PathDrain, oper.DrainRequest{Instance: c.Args.Instance})
	if err != nil {
		return err
	}
	if err := client.do(ctx, in, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.session.out, "instance %s is draining\n", c.Args.Instance)
	return err
}
