package crowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Target says what a crowd on the users' platform sends its requests to.
type Target struct {
	// Host and Prefix select the queue, Token is an API key of an account that may use it.
	Host, Prefix, Token string
	// MaxBody is the largest body that the configuration allows, in bytes.
	MaxBody int
}

// Rough is a crowd with a name.
type Rough struct {
	Name string
	Crowd
}

// OrdinaryJob is a small job.
const OrdinaryJob = `{"spec":"x","steps":[{"count":2,"cpu":500,"gpu":1,"estimated_ms":900}]}`

// Pieces in which some crowds send.
const (
	pieceBytes = 16 << 10
	piecePause = 20 * time.Millisecond
)

// Submission returns a request that submits a job with an ID of its own.
func (t Target) Submission(n int, body []byte) Request {
	return Request{Method: http.MethodPost, Path: t.path(n), Host: t.Host, Token: t.Token, Body: body}
}

// State returns a request for the state of a job.
func (t Target) State(n int) Request {
	return Request{Method: http.MethodGet, Path: t.path(n), Host: t.Host, Token: t.Token}
}

// path returns the path of a job.
func (t Target) path(n int) string {
	return fmt.Sprintf("%s%016x", t.Prefix, n)
}

// short returns what all clients send whose body lacks its last byte, or its last chunk.
func (t Target) short(change func(*Request)) func(int) net.Buffers {
	r := t.Submission(1, Padded(OrdinaryJob, t.MaxBody))
	r.Withheld = 1
	change(&r)
	return Always(r.Encode())
}

// UnfinishedBodies returns crowds whose bodies stop short of their end.
func (t Target) UnfinishedBodies() []Rough {
	return []Rough{
		{"whole_bodies_one_byte_short", Crowd{Data: t.short(func(*Request) {})}},
		{"bodies_one_byte_short_in_pieces", Crowd{Data: t.short(func(*Request) {}), Piece: pieceBytes, Pause: piecePause}},
		{"bodies_in_large_chunks_without_the_last", Crowd{Data: t.short(func(r *Request) { r.Chunk = 64 << 10 })}},
		{"bodies_in_chunks_of_a_byte_without_the_last", Crowd{Data: t.short(func(r *Request) { r.Chunk = 1 })}},
		{"bodies_one_byte_short_again_and_again", Crowd{Data: t.short(func(*Request) {}), Reconnects: true}},
		{"bodies_one_byte_short_with_unknown_key", Crowd{Data: t.short(func(r *Request) { r.Token = "unknown" })}},
		{"bodies_one_byte_short_for_unknown_queue", Crowd{Data: t.short(func(r *Request) { r.Path = "/unknown/1" })}},
		{"bodies_one_byte_short_of_a_read", Crowd{Data: t.short(func(r *Request) { r.Method = http.MethodGet })}},
		{"many_header_fields", Crowd{Data: t.short(func(r *Request) { r.Header = ManyFields(15_000) })}},
	}
}

// WholeBodies returns crowds that send bodies of legal size to their end.
func (t Target) WholeBodies() []Rough {
	whole := Padded(OrdinaryJob, t.MaxBody)
	steps := Filled(`{"steps":[{}`, `,{}`, `]}`, t.MaxBody)
	numbers := Filled(`{"steps":[{"count":1},{"count":1,"after":[0`, `,0`, `]}]}`, t.MaxBody)
	return []Rough{
		{"complete_bodies_one_after_the_other", Crowd{Data: func(n int) net.Buffers { return Repeat(t.Submission(n, whole).Encode(), 8) }}},
		{"bodies_of_many_steps", Crowd{Data: func(n int) net.Buffers { return t.Submission(n, steps).Encode() }}},
		{"bodies_of_many_numbers", Crowd{Data: func(n int) net.Buffers { return t.Submission(n, numbers).Encode() }}},
	}
}

// Connections returns crowds that hold connections without sending a request.
func (t Target) Connections() []Rough {
	header := Filled("POST "+t.path(1)+" HTTP/1.1\r\nHost: "+t.Host+"\r\nX-Long: ", "x", "", 15_000)
	return []Rough{
		{"silent_connections", Crowd{Data: Always(nil)}},
		{"silent_connections_again_and_again", Crowd{Data: Always(nil), Reconnects: true}},
		{"headers_without_end", Crowd{Data: Always(net.Buffers{header})}},
	}
}

// UnreadResponses returns crowds that don't read the responses to their requests.
func (t Target) UnreadResponses() []Rough {
	unknown := Request{Method: http.MethodGet, Path: "/unknown/1", Host: t.Host}
	return []Rough{{"responses_that_nobody_reads", Crowd{Data: Always(Repeat(unknown.Encode(), 5000))}}}
}

// LargeJob returns a job whose record is nearly as large as a row of the store may be.
func LargeJob() []byte {
	return Filled(`{"spec":"x","steps":[{"count":1}`, `,{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":900,"image":"i"}`, `]}`, 50_000)
}

// LargeJobs returns crowds that hold much while the store is slow: submissions of large jobs, and questions for the state of one
// that was submitted before.
func (t Target) LargeJobs(submitted int) []Rough {
	return []Rough{
		{"large_jobs_while_the_store_is_slow", Crowd{Data: func(n int) net.Buffers { return t.Submission(n, LargeJob()).Encode() }}},
		{"states_of_a_large_job_while_the_store_is_slow", Crowd{Data: Always(Repeat(t.State(submitted).Encode(), 100))}},
	}
}

// Always returns the same data for each client.
func Always(data net.Buffers) func(int) net.Buffers {
	return func(int) net.Buffers { return data }
}

// ManyFields returns header lines of a size with as many fields as fit.
func ManyFields(size int) string {
	var out bytes.Buffer
	for n := 0; out.Len() < size; n++ {
		_, _ = fmt.Fprintf(&out, "%x:\r\n", n)
	}
	return out.String()
}

// Padded returns a JSON text followed by white space, so that it has a size.
func Padded(text string, size int) []byte {
	return append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...)
}

// Filled returns a text of about a size that begins with prefix, ends with suffix and repeats element in between.
func Filled(prefix, element, suffix string, size int) []byte {
	count := (size - len(prefix) - len(suffix)) / len(element)
	out := append([]byte(prefix), bytes.Repeat([]byte(element), count)...)
	return append(out, suffix...)
}
