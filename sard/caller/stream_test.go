package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patternReader yields the given number of bytes in a repeating pattern.
type patternReader struct{ remaining int }

// Read implements io.Reader.
func (r *patternReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.remaining)
	for i := range n {
		p[i] = byte((r.remaining - i) % 251)
	}
	r.remaining -= n
	return n, nil
}

// TestLargeBodiesAreStreamed sends a large chunked request body and receives a large response body; neither may be
// altered on the way.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 8 << 20
	api := startAPI(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.ContentLength == -1, "the body is chunked")
		sum := sha256.New()
		_, err := io.Copy(sum, r.Body)
		assert.Check(t, err)
		_, _ = w.Write(sum.Sum(nil))
		_, _ = io.Copy(w, &patternReader{remaining: size})
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, api.URL+"/r/settle", &patternReader{remaining: size})
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	want, err := io.ReadAll(&patternReader{remaining: size})
	assert.NilError(t, err)
	sum := sha256.Sum256(want)
	assert.Assert(t, bytes.Equal(got[:sha256.Size], sum[:]))
	assert.Assert(t, bytes.Equal(got[sha256.Size:], want))
}

// TestCallerDisconnectCancelsBackendRequest cancels a request on the caller's side and waits until the request to the
// backend server is cancelled too.
func TestCallerDisconnectCancelsBackendRequest(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	api := startAPI(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, api.URL+"/r/settle", strings.NewReader("claim"))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	canceller := time.AfterFunc(0, func() {
		<-started
		cancel()
	})
	defer canceller.Stop()
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // there is no response
	assert.Assert(t, errors.Is(err, context.Canceled))
	<-ended
}

// TestIncompleteBodyIsNotForwarded closes the caller's connection before the announced Content-Length was sent.
func TestIncompleteBodyIsNotForwarded(t *testing.T) {
	api := startAPI(t, func(http.ResponseWriter, *http.Request) { t.Error("the server was called") })
	conn, err := net.Dial("tcp", strings.TrimPrefix(api.URL, "http://"))
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /r/settle HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+token+
		"\r\nContent-Length: 100\r\n\r\nshort")
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "Sardine-Outcome: NotRun"), string(answer))
	assert.NilError(t, conn.Close())
}

// TestSlowUploadsDoNotOccupySlots opens more requests than the backend server has slots without completing their
// bodies, then sends a complete request, which must still be served.
func TestSlowUploadsDoNotOccupySlots(t *testing.T) {
	api := startAPI(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "priced")
	})
	for range 20 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(api.URL, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /r/settle HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+token+
			"\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\n")
		assert.NilError(t, err)
		line, err := bufio.NewReader(conn).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n", "the body is being read")
		_, err = io.WriteString(conn, "slow")
		assert.NilError(t, err)
	}
	got, err := sendRequest(t, http.MethodPost, api.URL+"/r/settle", "claim")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "priced")
}
