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

const (
	statusUnauthorized = http.StatusUnauthorized
	// minTries is how often an idempotent call is tried, also with a single address.
	minTries   = 2
	retryPause = 300 * time.Millisecond
)

// call is one HTTP call to an instance.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// once forbids a second try after the call may have reached an instance.
	once bool
}

// client calls the instances of one environment.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

func newClient(addresses []string, token, caFile string) (*client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pool, err := loadPool(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &client{addresses: addresses, token: token, http: &http.Client{Transport: transport}}, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read --ca-file", "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.Invalid, "read --ca-file", "", "%s holds no PEM certificate", path)
	}
	return pool, nil
}

// do makes a call at one address after the other and decodes the answer into v, unless v is nil.
func (c *client) do(ctx context.Context, in call, v any) error {
	resp, err := c.send(ctx, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return &transportError{method: in.method, url: in.path, sent: true, cause: err}
	}
	return nil
}

// send makes a call and returns the answer of the first instance that gives one. The caller closes its body.
func (c *client) send(ctx context.Context, in call) (*http.Response, error) {
	sent := false
	var last error
	for try := range max(minTries, len(c.addresses)) {
		if try > 0 && !pause(ctx) {
			break
		}
		resp, err := c.try(ctx, in, c.addresses[try%len(c.addresses)])
		if err == nil {
			return resp, nil
		}
		last = err
		var transport *transportError
		if errors.As(err, &transport) {
			sent = sent || transport.sent
			transport.sent = sent
		}
		if !retryable(err) || in.once && sent {
			break
		}
	}
	return nil, last
}

func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func retryable(err error) bool {
	var answered *replyError
	if errors.As(err, &answered) {
		return answered.Kind == fault.Unavailable.String() || answered.Kind == fault.OutcomeUnknown.String()
	}
	return true
}

func (c *client) try(ctx context.Context, in call, address string) (*http.Response, error) {
	url := strings.TrimSuffix(address, "/") + in.path
	req, err := http.NewRequestWithContext(ctx, in.method, url, bytes.NewReader(in.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read --address", "")
	}
	for name, values := range in.header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &transportError{method: in.method, url: url, sent: !dialFailed(err), cause: err}
	}
	if resp.StatusCode < http.StatusBadRequest || in.once {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readError(resp)
}

// dialFailed tells that no connection was made, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readError(resp *http.Response) error {
	failure := &replyError{status: resp.StatusCode}
	body, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(body, &failure.ErrorResponse); err != nil || failure.ErrorResponse.Error == "" {
		failure.ErrorResponse.Error = strings.TrimSpace(resp.Status + " " + string(body))
	}
	return failure
}
