package main

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/oper"
)

// proofPollInterval is the time between two queries of a proof by "sardctl promote --wait".
const proofPollInterval = time.Second

// proofCommand implements "sardctl proof".
type proofCommand struct{ session *session }

// Execute prints the proof of the document in force: for how long and on how many instances it has been in force.
func (c *proofCommand) Execute([]string) error {
	proof, err := fetch[config.Proof](c.session, newGetCall(oper.PathProof))
	if err != nil {
		return err
	}
	return c.session.print(proof, func(w *tableWriter) {
		w.writeRow("VERSION", "DIGEST", "PROVEN FOR", "INSTANCES")
		w.writeRow(proof.Version, shortenDigest(proof.Digest), proof.ProvenFor, proof.Instances)
	})
}

// promoteCommand implements "sardctl promote".
type promoteCommand struct {
	basedOn
	TrialAddresses []string `long:"trial-address" env:"SARDINE_TRIAL_ADDRESS" env-delim:"," required:"yes" value-name:"URL" description:"address of an instance of the trial environment; may be repeated, addresses are tried in turn"`
	TrialToken     string   `long:"trial-token" env:"SARDINE_TRIAL_TOKEN" value-name:"TOKEN" description:"operator's token for the trial environment"`
	TrialCAFile    string   `long:"trial-ca-file" env:"SARDINE_TRIAL_CA_FILE" value-name:"FILE" description:"file of PEM CA certificates to verify the trial environment's instances with; defaults to the system's"`
	Wait           bool     `long:"wait" description:"wait until the document is proven, for at most --timeout"`
	session        *session
}

// Execute fetches the document of the trial environment and its proof, and submits both to the instance at --address.
func (c *promoteCommand) Execute([]string) error {
	trial, err := newClient(c.TrialAddresses, c.TrialToken, c.TrialCAFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.session.options.Timeout)
	defer cancel()
	req, err := c.fetchProvenDocument(ctx, trial)
	if err != nil {
		return err
	}
	if req.BasedOn, err = c.resolve(c.session); err != nil {
		return err
	}
	call, err := newPostCall(oper.PathPromote, req)
	if err != nil {
		return err
	}
	result, err := fetch[config.ProposalResult](c.session, call)
	if err != nil {
		return err
	}
	return c.session.printProposalResult(result)
}

// fetchProvenDocument returns the document in force in the trial environment and its proof. With --wait it polls until
// the document has been in force there for as long as the document itself requires for its promotion.
func (c *promoteCommand) fetchProvenDocument(ctx context.Context, trial *client) (oper.PromoteRequest, error) {
	for {
		req, required, err := fetchTrialDocument(ctx, trial)
		if !c.Wait || err == nil && req.Proof.ProvenFor >= required.ProvenFor {
			return req, err
		}
		select {
		case <-ctx.Done():
			return req, notProvenError(req, required, err)
		case <-time.After(proofPollInterval):
		}
	}
}

// notProvenError returns the error for a document that was not in force for the required time before --timeout. That is
// err if the last query failed.
func notProvenError(req oper.PromoteRequest, required envdoc.Promotion, err error) error {
	if err != nil {
		return err
	}
	return fault.New(fault.Conflict, "wait for the proof", "trial", "the document has been in force for %v, %v is required", req.Proof.ProvenFor, required.ProvenFor)
}

// fetchTrialDocument queries the trial environment once for its document and the proof, and returns with them what the
// document requires for its promotion.
func fetchTrialDocument(ctx context.Context, trial *client) (oper.PromoteRequest, envdoc.Promotion, error) {
	var view oper.DocumentView
	req := oper.PromoteRequest{Token: newToken()}
	if err := trial.do(ctx, newGetCall(oper.PathDocument), &view); err != nil {
		return req, envdoc.Promotion{}, err
	}
	req.Document = view.Document
	if err := trial.do(ctx, newGetCall(oper.PathProof), &req.Proof); err != nil {
		return req, envdoc.Promotion{}, err
	}
	if req.Proof.Digest != view.Digest {
		return req, envdoc.Promotion{}, fault.New(fault.Conflict, "read the proof", "trial", "another document was accepted in the meantime")
	}
	doc, err := envdoc.Decode(view.Document, view.Digest)
	if err != nil {
		return req, envdoc.Promotion{}, err
	}
	return req, doc.Promotion, nil
}
