package main

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/oper"
)

// provenPause is the time between two looks at the proof.
const provenPause = time.Second

type proofCommand struct{ session *session }

// Execute prints the proof of the document in force.
func (c *proofCommand) Execute([]string) error {
	proof, err := fetch[config.Proof](c.session, get(oper.PathProof))
	if err != nil {
		return err
	}
	return c.session.print(proof, func(w *rows) {
		w.row("VERSION", "DIGEST", "PROVEN FOR", "INSTANCES")
		w.row(proof.Version, short(proof.Digest), proof.ProvenFor, proof.Instances)
	})
}

type promoteCommand struct {
	basedOn
	TrialAddresses []string `long:"trial-address" env:"SARDINE_TRIAL_ADDRESS" env-delim:"," required:"yes" value-name:"URL" description:"address of an instance of the trial environment"`
	TrialToken     string   `long:"trial-token" env:"SARDINE_TRIAL_TOKEN" value-name:"TOKEN" description:"operator's token there"`
	TrialCAFile    string   `long:"trial-ca-file" env:"SARDINE_TRIAL_CA_FILE" value-name:"FILE" description:"PEM certificates for the trial environment"`
	Wait           bool     `long:"wait" description:"wait until the document is proven, at most for --timeout"`
	session        *session
}

// Execute carries the trial's document and its proof over.
func (c *promoteCommand) Execute([]string) error {
	trial, err := newClient(c.TrialAddresses, c.TrialToken, c.TrialCAFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.session.options.Timeout)
	defer cancel()
	req, err := c.gather(ctx, trial)
	if err != nil {
		return err
	}
	if req.BasedOn, err = c.resolve(c.session); err != nil {
		return err
	}
	in, err := post(oper.PathPromote, req)
	if err != nil {
		return err
	}
	verdict, err := fetch[config.ProposalResult](c.session, in)
	if err != nil {
		return err
	}
	return c.session.printVerdict(verdict)
}

// gather reads the trial's document and its proof. With --wait it goes on until the proof is long enough.
func (c *promoteCommand) gather(ctx context.Context, trial *client) (oper.PromoteRequest, error) {
	for {
		req, need, err := gatherOnce(ctx, trial)
		if !c.Wait || err == nil && req.Proof.ProvenFor >= need.ProvenFor {
			return req, err
		}
		select {
		case <-ctx.Done():
			return req, notProven(req, need, err)
		case <-time.After(provenPause):
		}
	}
}

func notProven(req oper.PromoteRequest, need envdoc.Promotion, err error) error {
	if err != nil {
		return err
	}
	return fault.New(fault.Conflict, "wait for the proof", "trial", "the document was in force for %v; %v is needed", req.Proof.ProvenFor, need.ProvenFor)
}

func gatherOnce(ctx context.Context, trial *client) (oper.PromoteRequest, envdoc.Promotion, error) {
	var view oper.DocumentView
	req := oper.PromoteRequest{Token: newToken()}
	if err := trial.do(ctx, get(oper.PathDocument), &view); err != nil {
		return req, envdoc.Promotion{}, err
	}
	req.Document = view.Document
	if err := trial.do(ctx, get(oper.PathProof), &req.Proof); err != nil {
		return req, envdoc.Promotion{}, err
	}
	if req.Proof.Digest != view.Digest {
		return req, envdoc.Promotion{}, fault.New(fault.Conflict, "read the proof", "trial", "another document was accepted meanwhile")
	}
	doc, err := envdoc.Decode(view.Document, view.Digest)
	if err != nil {
		return req, envdoc.Promotion{}, err
	}
	return req, doc.Promotion, nil
}
