package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// HTTP status and retry parameters of the calls to instances.
const (
	statusUnauthorized = http.StatusUnauthorized
	// minAttempts is the lowest limit on the attempts of a call. The limit is the number of addresses if that is
	// higher.
	minAttempts = 2
	retryDelay  = 300 * time.Millisecond
)

// apiCall is an HTTP call to an instance that has not been sent yet.
type apiCall struct {
	method string
	path   string
	header http.Header
	body   []byte
	// singleAttempt forbids another attempt after the call may have reached an instance. Responses with an error status
	// are then returned to the caller instead of becoming an error.
	singleAttempt bool
}

// client calls the instances of one environment.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

// newClient returns a client that tries the addresses in turn and sends the bearer token. It trusts only the
// certificates in caFile, or those of the system if caFile is empty.
func newClient(addresses []string, token, caFile string) (*client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pool, err := loadCertPool(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &client{addresses: addresses, token: token, http: &http.Client{Transport: transport}}, nil
}

// loadCertPool reads the certificates of a PEM file.
func loadCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read --ca-file", "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.Invalid, "read --ca-file", "", "%s contains no PEM certificate", path)
	}
	return pool, nil
}

// do sends a call and decodes the JSON body of the response into v, unless v is nil.
func (c *client) do(ctx context.Context, call apiCall, v any) error {
	resp, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return &transportError{method: call.method, url: call.path, maybeSent: true, cause: err}
	}
	return nil
}

// send tries the addresses in turn and returns the first response. The caller must close its body.
func (c *client) send(ctx context.Context, call apiCall) (*http.Response, error) {
	maybeSent := false
	var lastErr error
	for attempt := range max(minAttempts, len(c.addresses)) {
		if attempt > 0 && !waitBeforeRetry(ctx) {
			break
		}
		resp, err := c.attempt(ctx, call, c.addresses[attempt%len(c.addresses)])
		if err == nil {
			return resp, nil
		}
		lastErr = err
		var transportErr *transportError
		if errors.As(err, &transportErr) {
			maybeSent = maybeSent || transportErr.maybeSent
			transportErr.maybeSent = maybeSent
		}
		if !isRetryable(err) || call.singleAttempt && maybeSent {
			break
		}
	}
	return nil, lastErr
}

// waitBeforeRetry waits for retryDelay. It returns false when ctx ends first.
func waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isRetryable reports whether another attempt of a call may succeed after err. After an error response, that is so only
// if the instance was unavailable or the outcome of the call is unknown.
func isRetryable(err error) bool {
	var replyErr *replyError
	if errors.As(err, &replyErr) {
		return replyErr.Kind == fault.Unavailable.String() || replyErr.Kind == fault.OutcomeUnknown.String()
	}
	return true
}

// attempt sends a call to one address, once.
func (c *client) attempt(ctx context.Context, call apiCall, address string) (*http.Response, error) {
	url := strings.TrimSuffix(address, "/") + call.path
	req, err := http.NewRequestWithContext(ctx, call.method, url, bytes.NewReader(call.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read --address", "")
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &transportError{method: call.method, url: url, maybeSent: !isDialError(err), cause: err}
	}
	if resp.StatusCode < http.StatusBadRequest || call.singleAttempt {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, decodeErrorReply(resp)
}

// isDialError reports whether err means that no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// decodeErrorReply returns the error that a response describes. If the body is not an ErrorResponse, the error has the
// body as its message.
func decodeErrorReply(resp *http.Response) error {
	replyErr := &replyError{status: resp.StatusCode}
	body, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(body, &replyErr.ErrorResponse); err != nil || replyErr.ErrorResponse.Error == "" {
		replyErr.ErrorResponse.Error = strings.TrimSpace(resp.Status + " " + string(body))
	}
	return replyErr
}
