package route

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

//go:generate go tool stringer -type=claimState -output=claim_string.go

// claimState is how far the request of a claim has come.
type claimState int

const (
	// claimOpen is a request that may be on its way.
	claimOpen claimState = iota
	// claimAnswered is a request whose answer is in the claim.
	claimAnswered
	// claimLarge is a request that was answered with more than a claim can hold.
	claimLarge
	// claimLost is a request that may or may not have run.
	claimLost
)

// Bounds of claims.
const (
	// keyedBuffer bounds the body of a request with an idempotency key in bytes.
	keyedBuffer = 256 << 10
	// claimAnswerMax bounds the answer that a claim holds in bytes.
	claimAnswerMax = 64 << 10
	// claimSlack is how long after its deadline a claimed request may still end.
	claimSlack = 5 * time.Second
	// claimWrites bounds the tries to record how a claimed request ended.
	claimWrites = 3
	// claimPause is the mean pause between these tries.
	claimPause = 100 * time.Millisecond
)

// claim is the record of an idempotency key.
type claim struct {
	Request     ident.Request
	Instance    ident.Instance
	Fingerprint ident.Digest
	State       claimState
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	Status   int
	Header   http.Header
	Body     []byte
}

// forwardOnce forwards a request with an idempotency key, when this is the first with the key.
func (r *Router) forwardOnce(ctx context.Context, c *call) Result {
	if !c.payload.whole() {
		return *tooLarge(errTooLarge)
	}
	own := claim{Request: c.ID, Instance: r.cfg.Instance, Fingerprint: c.fingerprint(), Deadline: c.deadline}
	if result := r.claim(ctx, c, own); result != nil {
		return result
	}
	return r.record(ctx, c, own, r.forward(ctx, c))
}

// fingerprint identifies the content of a request.
func (c *call) fingerprint() ident.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, c.Method+"\n"+c.Path+"\n")
	_, _ = h.Write(c.payload.head)
	return ident.Digest(hex.EncodeToString(h.Sum(nil)))
}

func (c *call) claimKey() table.Key {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	return table.Key{Partition: "Requests/" + string(c.Account) + "/" + hex.EncodeToString(sum[:]), Sort: "Claim"}
}

// claim writes the claim. It returns nil when the request is to be forwarded, and else its result.
func (r *Router) claim(ctx context.Context, c *call, own claim) Result {
	if r.cfg.Store == nil {
		return notClaimed(fault.New(fault.Unavailable, "claim key", "table", "there is no store"))
	}
	bounded, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	err := r.putClaim(bounded, c, own, table.Absent{})
	switch {
	case err == nil:
		return nil
	case fault.Is(err, fault.Conflict):
		return r.repeat(bounded, c, own)
	case fault.Is(err, fault.OutcomeUnknown):
		r.dropClaim(ctx, c, own)
	}
	return notClaimed(err)
}

func notClaimed(err error) NotRun {
	f := fault.Wrap(err, fault.Unavailable, "claim key", "table").WithRetryAfter(jitter(2 * minRetryAfter))
	return NotRun{Status: http.StatusServiceUnavailable, Fault: f}
}

func (r *Router) putClaim(ctx context.Context, c *call, own claim, cond table.Condition) error {
	body, err := json.Marshal(own)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode claim", "")
	}
	return r.cfg.Store.Apply(ctx, table.DecisionPriority, table.Put{Key: c.claimKey(), Body: body, If: cond})
}

// repeat answers a request whose key has been claimed before.
func (r *Router) repeat(ctx context.Context, c *call, own claim) Result {
	first, err := r.readClaim(ctx, c)
	if err != nil {
		return notClaimed(err)
	}
	if first.Request == own.Request {
		return nil
	}
	if first.Fingerprint != own.Fingerprint {
		f := fault.New(fault.Conflict, "claim key", "", "the idempotency key belongs to another request")
		return NotRun{Status: http.StatusUnprocessableEntity, Fault: f}
	}
	return first.replay(time.Now())
}

func (r *Router) readClaim(ctx context.Context, c *call) (claim, error) {
	var found claim
	item, err := r.cfg.Store.Get(ctx, table.DecisionPriority, c.claimKey())
	if err != nil {
		return found, err
	}
	if err := json.Unmarshal(item.Body, &found); err != nil {
		return found, fault.Wrap(err, fault.Internal, "decode claim", "table")
	}
	return found, nil
}

// replay is the result of a later request with the same key and content.
func (first claim) replay(now time.Time) Result {
	switch {
	case first.State == claimAnswered:
		body := io.NopCloser(bytes.NewReader(first.Body))
		return Answered{Status: first.Status, Header: first.Header, Body: body, ContentLength: int64(len(first.Body))}
	case first.State == claimLarge:
		f := fault.New(fault.OutcomeUnknown, "claim key", "", "the request ran; its answer was too large to be kept")
		return Unknown{Status: http.StatusBadGateway, Fault: f}
	case first.State == claimOpen && now.Before(first.Deadline.Add(claimSlack)):
		left := first.Deadline.Add(claimSlack).Sub(now)
		f := fault.New(fault.Conflict, "claim key", "", "the request is in progress")
		return Unknown{Status: http.StatusConflict, Fault: f.WithRetryAfter(min(left, minRetryAfter))}
	}
	f := fault.New(fault.OutcomeUnknown, "claim key", "", "the first request with the key may or may not have run")
	return Unknown{Status: http.StatusBadGateway, Fault: f}
}

// record writes how a claimed request ended, so that repeats are told the same.
func (r *Router) record(ctx context.Context, c *call, own claim, result Result) Result {
	ctx = context.WithoutCancel(ctx)
	switch result := result.(type) {
	case NotRun:
		r.dropClaim(ctx, c, own)
	case Unknown:
		own.State = claimLost
		r.closeClaim(ctx, c, own)
	case Answered:
		return r.recordAnswer(ctx, c, own, result)
	}
	return result
}

func (r *Router) recordAnswer(ctx context.Context, c *call, own claim, answer Answered) Result {
	own.State = claimLarge
	if answer.ContentLength >= 0 && answer.ContentLength <= claimAnswerMax {
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			own.State = claimLost
			r.closeClaim(ctx, c, own)
			return Unknown{Status: http.StatusBadGateway, Fault: fault.Wrap(err, fault.OutcomeUnknown, "read answer", "")}
		}
		own.State, own.Status, own.Header, own.Body = claimAnswered, answer.Status, answer.Header, body
		answer.Body = io.NopCloser(bytes.NewReader(body))
	}
	r.closeClaim(ctx, c, own)
	return answer
}

// closeClaim writes the end of a claim. When the store fails, repeats are told that the outcome is unknown.
func (r *Router) closeClaim(ctx context.Context, c *call, own claim) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	for range claimWrites {
		err := r.putClaim(ctx, c, own, table.AtRevision{Revision: 1})
		if err == nil || fault.Is(err, fault.Conflict) {
			return
		}
		r.log.Warn("claim not recorded", "request", c.ID, "state", own.State, "error", err)
		if !clock.Sleep(ctx, jitter(claimPause)) {
			return
		}
	}
}

// dropClaim removes the claim of a request that did not run, so that the key can be used again.
func (r *Router) dropClaim(ctx context.Context, c *call, own claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.StoreTimeout)
	defer cancel()
	for range claimWrites {
		err := r.tryDropClaim(ctx, c, own)
		if err == nil {
			return
		}
		r.log.Warn("claim not dropped", "request", c.ID, "error", err)
		if !clock.Sleep(ctx, jitter(claimPause)) {
			return
		}
	}
}

func (r *Router) tryDropClaim(ctx context.Context, c *call, own claim) error {
	found, err := r.readClaim(ctx, c)
	if fault.Is(err, fault.NotFound) || err == nil && found.Request != own.Request {
		return nil
	}
	if err != nil {
		return err
	}
	return r.cfg.Store.Apply(ctx, table.DecisionPriority, table.Delete{Key: c.claimKey(), If: table.AtRevision{Revision: 1}})
}
