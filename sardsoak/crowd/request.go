package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
)

// Request is a request as it is sent.
type Request struct {
	Method, Path, Host string
	// Token is the bearer token; empty for none.
	Token string
	// Header holds further header lines, each with its line break.
	Header string
	Body   []byte
	// Withheld is the number of bytes at the end of the body that are never sent. Of a body in chunks, the last chunk is
	// withheld if it is greater than 0.
	Withheld int
	// Chunk is the size of the chunks in which the body is sent; 0 means with a Content-Length.
	Chunk int
}

// Encode returns the request as it is sent: the header and, if there is one, the body.
func (r Request) Encode() net.Buffers {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.Method, r.Path, r.Host, r.Header)
	if r.Token != "" {
		head += "Authorization: Bearer " + r.Token + "\r\n"
	}
	switch {
	case r.Body == nil:
		return net.Buffers{[]byte(head + "\r\n")}
	case r.Chunk > 0:
		return net.Buffers{[]byte(head + "Transfer-Encoding: chunked\r\n\r\n"), r.chunks()}
	}
	head += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n\r\n"
	return net.Buffers{[]byte(head), r.Body[:len(r.Body)-r.Withheld]}
}

// chunks returns the body in chunks.
func (r Request) chunks() []byte {
	var out bytes.Buffer
	for body := r.Body; len(body) > 0; {
		chunk := body[:min(r.Chunk, len(body))]
		body = body[len(chunk):]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if r.Withheld == 0 {
		out.WriteString("0\r\n\r\n")
	}
	return out.Bytes()
}

// Repeat returns a request that is sent a number of times, one after the other.
func Repeat(request net.Buffers, times int) net.Buffers {
	var out net.Buffers
	for range times {
		out = append(out, request...)
	}
	return out
}
