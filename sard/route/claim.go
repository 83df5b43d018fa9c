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

// claimState is the stored state of a request with an idempotency key.
type claimState int

const (
	// claimOpen is the state of a request that may be in progress.
	claimOpen claimState = iota
	// claimAnswered is the state of a request whose response is stored in the claim.
	claimAnswered
	// claimLarge is the state of a request whose response was too large to store.
	claimLarge
	// claimLost is the state of a request that may or may not have run.
	claimLost
)

// Limits of claims.
const (
	// maxKeyedBodyBytes limits the body of a request with an idempotency key.
	maxKeyedBodyBytes = 256 << 10
	// maxClaimBodyBytes limits the response body that is stored in a claim.
	maxClaimBodyBytes = 64 << 10
	// claimGracePeriod is how long after its deadline a claimed request may still end.
	claimGracePeriod = 5 * time.Second
	// claimWriteAttempts limits the attempts to write the end of a claimed request.
	claimWriteAttempts = 3
	// claimRetryDelay is the mean delay between the attempts to write the end of a claimed request.
	claimRetryDelay = 100 * time.Millisecond
)

// claimRecord is the stored record by which an idempotency key belongs to one request. It also holds the response, if
// that is short.
type claimRecord struct {
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

// forwardOnce forwards a request with an idempotency key if it is the first one with this key.
func (r *Router) forwardOnce(ctx context.Context, c *call) Result {
	if !c.requestBody.isBuffered() {
		return *bodyTooLarge(errBodyTooLarge)
	}
	claim := claimRecord{Request: c.ID, Instance: r.cfg.Instance, Fingerprint: c.fingerprint(), Deadline: c.deadline}
	if result := r.acquireClaim(ctx, c, claim); result != nil {
		return result
	}
	return r.recordResult(ctx, c, claim, r.forward(ctx, c))
}

// fingerprint returns a digest of the request's method, path and body. It detects a key that is reused for another
// request.
func (c *call) fingerprint() ident.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, c.Method+"\n"+c.Path+"\n")
	_, _ = h.Write(c.requestBody.prefix)
	return ident.Digest(hex.EncodeToString(h.Sum(nil)))
}

// claimKey returns the table key of the request's claim.
func (c *call) claimKey() table.Key {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	return table.Key{Partition: "Requests/" + string(c.Account) + "/" + hex.EncodeToString(sum[:]), Sort: "Claim"}
}

// acquireClaim stores a claim of the request's idempotency key. It returns nil if the request is to be forwarded, and
// its result otherwise.
func (r *Router) acquireClaim(ctx context.Context, c *call, claim claimRecord) Result {
	if r.cfg.Store == nil {
		return claimFailed(fault.New(fault.Unavailable, "claim key", "table", "no store is configured"))
	}
	storeCtx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	err := r.putClaim(storeCtx, c, claim, table.Absent{})
	switch {
	case err == nil:
		return nil
	case fault.Is(err, fault.Conflict):
		return r.handleRepeat(storeCtx, c, claim)
	case fault.Is(err, fault.OutcomeUnknown):
		r.deleteClaim(ctx, c, claim)
	}
	return claimFailed(err)
}

// claimFailed returns the result of a request whose claim could not be written.
func claimFailed(err error) NotRun {
	f := fault.Wrap(err, fault.Unavailable, "claim key", "table").WithRetryAfter(jitter(2 * minRetryAfter))
	return NotRun{Status: http.StatusServiceUnavailable, Fault: f}
}

// putClaim writes the claim to the store if the condition holds.
func (r *Router) putClaim(ctx context.Context, c *call, claim claimRecord, condition table.Condition) error {
	body, err := json.Marshal(claim)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode claim", "")
	}
	return r.cfg.Store.Apply(ctx, table.DecisionPriority, table.Put{Key: c.claimKey(), Body: body, If: condition})
}

// handleRepeat returns the result of a request whose key is already claimed. It returns nil if the claim is the
// request's own.
func (r *Router) handleRepeat(ctx context.Context, c *call, claim claimRecord) Result {
	existing, err := r.readClaim(ctx, c)
	if err != nil {
		return claimFailed(err)
	}
	if existing.Request == claim.Request {
		return nil
	}
	if existing.Fingerprint != claim.Fingerprint {
		f := fault.New(fault.Conflict, "claim key", "", "idempotency key was used for a different request")
		return NotRun{Status: http.StatusUnprocessableEntity, Fault: f}
	}
	return existing.replay(time.Now())
}

// readClaim reads the claim of the request's idempotency key from the store.
func (r *Router) readClaim(ctx context.Context, c *call) (claimRecord, error) {
	var found claimRecord
	item, err := r.cfg.Store.Get(ctx, table.DecisionPriority, c.claimKey())
	if err != nil {
		return found, err
	}
	if err := json.Unmarshal(item.Body, &found); err != nil {
		return found, fault.Wrap(err, fault.Internal, "decode claim", "table")
	}
	return found, nil
}

// replay returns the result of a later request with the same idempotency key and content.
func (existing claimRecord) replay(now time.Time) Result {
	switch {
	case existing.State == claimAnswered:
		body := io.NopCloser(bytes.NewReader(existing.Body))
		return Answered{Status: existing.Status, Header: existing.Header, Body: body, ContentLength: int64(len(existing.Body))}
	case existing.State == claimLarge:
		f := fault.New(fault.OutcomeUnknown, "claim key", "", "request ran, but its response was too large to store")
		return Unknown{Status: http.StatusBadGateway, Fault: f}
	case existing.State == claimOpen && now.Before(existing.Deadline.Add(claimGracePeriod)):
		left := existing.Deadline.Add(claimGracePeriod).Sub(now)
		f := fault.New(fault.Conflict, "claim key", "", "request is in progress")
		return Unknown{Status: http.StatusConflict, Fault: f.WithRetryAfter(min(left, minRetryAfter))}
	}
	f := fault.New(fault.OutcomeUnknown, "claim key", "", "first request with the key may or may not have run")
	return Unknown{Status: http.StatusBadGateway, Fault: f}
}

// recordResult writes the result of a claimed request, so that later requests with the key get the same one.
func (r *Router) recordResult(ctx context.Context, c *call, claim claimRecord, result Result) Result {
	ctx = context.WithoutCancel(ctx)
	switch result := result.(type) {
	case NotRun:
		r.deleteClaim(ctx, c, claim)
	case Unknown:
		claim.State = claimLost
		r.completeClaim(ctx, c, claim)
	case Answered:
		return r.recordResponse(ctx, c, claim, result)
	}
	return result
}

// recordResponse stores the response in the claim if it is small enough.
func (r *Router) recordResponse(ctx context.Context, c *call, claim claimRecord, response Answered) Result {
	claim.State = claimLarge
	if response.ContentLength >= 0 && response.ContentLength <= maxClaimBodyBytes {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			claim.State = claimLost
			r.completeClaim(ctx, c, claim)
			return Unknown{Status: http.StatusBadGateway, Fault: fault.Wrap(err, fault.OutcomeUnknown, "read answer", "")}
		}
		claim.State, claim.Status, claim.Header, claim.Body = claimAnswered, response.Status, response.Header, body
		response.Body = io.NopCloser(bytes.NewReader(body))
	}
	r.completeClaim(ctx, c, claim)
	return response
}

// completeClaim writes the final state of a claim. If the store fails, later requests with the same key end as Unknown.
func (r *Router) completeClaim(ctx context.Context, c *call, claim claimRecord) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	for range claimWriteAttempts {
		err := r.putClaim(ctx, c, claim, table.AtRevision{Revision: 1})
		if err == nil || fault.Is(err, fault.Conflict) {
			return
		}
		r.log.Warn("failed to update idempotency claim", "request", c.ID, "state", claim.State, "error", err)
		if !clock.Sleep(ctx, jitter(claimRetryDelay)) {
			return
		}
	}
}

// deleteClaim removes the claim of a request that did not run, so that its key can be used again.
func (r *Router) deleteClaim(ctx context.Context, c *call, claim claimRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.StoreTimeout)
	defer cancel()
	for range claimWriteAttempts {
		err := r.tryDeleteClaim(ctx, c, claim)
		if err == nil {
			return
		}
		r.log.Warn("failed to delete idempotency claim", "request", c.ID, "error", err)
		if !clock.Sleep(ctx, jitter(claimRetryDelay)) {
			return
		}
	}
}

// tryDeleteClaim removes the claim unless it belongs to another request.
func (r *Router) tryDeleteClaim(ctx context.Context, c *call, claim claimRecord) error {
	found, err := r.readClaim(ctx, c)
	if fault.Is(err, fault.NotFound) || err == nil && found.Request != claim.Request {
		return nil
	}
	if err != nil {
		return err
	}
	return r.cfg.Store.Apply(ctx, table.DecisionPriority, table.Delete{Key: c.claimKey(), If: table.AtRevision{Revision: 1}})
}
