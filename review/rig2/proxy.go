package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// proxy is what the instances reach an executor by. It can cut the executor off from them, and leave a start unanswered and
// carry it out late.
type proxy struct {
	address string
	target  string
	client  *http.Client

	mu sync.Mutex
	// cutUntil is the end of the cuts of the executor.
	cutUntil time.Time
	// late returns how late a start of a work unit is to be carried out, or 0 to pass it on.
	late func(o order) time.Duration
	rig  *rig
	name string
}

// newProxy starts a proxy before an executor.
func (r *rig) newProxy(name, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, client: &http.Client{}, rig: r, name: name}
	server := &http.Server{Handler: p}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return p, nil
}

// cut cuts the executor off from the instances for a time, from now on. Bytes of connections that are given up meanwhile are
// lost; the others are held up.
func (p *proxy) cut(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(length)
	if until.After(p.cutUntil) {
		p.cutUntil = until
	}
}

// cutLeft returns for how long the executor is still cut off.
func (p *proxy) cutLeft() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.cutUntil)
}

// setLate sets the function that chooses the starts to be carried out late.
func (p *proxy) setLate(late func(order) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = late
}

// awaitHeal waits while the executor is cut off. It returns false if the caller has gone.
func (p *proxy) awaitHeal(ctx context.Context) bool {
	for {
		left := p.cutLeft()
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return false
		}
	}
}

// ServeHTTP passes a call on to the executor.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if late := p.lateness(r, body); late > 0 {
		time.AfterFunc(late, func() { p.carryOutLate(r.Clone(context.Background()), body) })
		<-r.Context().Done()
		return
	}
	if !p.awaitHeal(r.Context()) {
		return
	}
	resp, err := p.send(r, r.Context(), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || !p.awaitHeal(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// lateness returns how late a call is to be carried out.
func (p *proxy) lateness(r *http.Request, body []byte) time.Duration {
	p.mu.Lock()
	late := p.late
	p.mu.Unlock()
	if late == nil || !strings.HasSuffix(r.URL.Path, "/run-start") {
		return 0
	}
	var o order
	if decode(body, &o) != nil {
		return 0
	}
	return late(o)
}

// carryOutLate sends an order that was left unanswered to the executor that now has the address.
func (p *proxy) carryOutLate(r *http.Request, body []byte) {
	var o order
	_ = decode(body, &o)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := p.send(r, ctx, body)
	if err != nil {
		p.rig.record.notef(p.name, "late start of %s run %d not carried out: %v", o.Task, o.Run, errors.Unwrap(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	p.rig.record.notef(p.name, "late start of %s run %d (fence %d) carried out: %d", o.Task, o.Run, o.FenceToken, resp.StatusCode)
}

// send sends a call to the executor.
func (p *proxy) send(r *http.Request, ctx context.Context, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+p.target+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	return p.client.Do(req)
}
