package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/sardineline/sardineline/sard/fault"
)

// session is what the commands of one command line share.
type session struct {
	options options
	in      io.Reader
	out     io.Writer
	err     io.Writer
}

// connect returns a client of the environment at --address and a context that ends after --timeout.
func (s *session) connect() (*client, context.Context, context.CancelFunc, error) {
	c, err := newClient(s.options.Addresses, s.options.Token, s.options.CAFile)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
	return c, ctx, cancel, nil
}

// fetch makes a call and decodes the answer.
func fetch[T any](s *session, in call) (T, error) {
	var v T
	c, ctx, cancel, err := s.connect()
	if err != nil {
		return v, err
	}
	defer cancel()
	err = c.do(ctx, in, &v)
	return v, err
}

func get(path string) call {
	return call{method: http.MethodGet, path: path}
}

// post makes a call whose body is v in JSON.
func post(path string, v any) (call, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return call{}, fault.Wrap(err, fault.Internal, "encode call", "")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return call{method: http.MethodPost, path: path, header: header, body: body}, nil
}

// readFile reads a file, or the standard input for "-".
func (s *session) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.in)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read file", "")
	}
	return text, nil
}

// print writes v as JSON, or the rows of a table.
func (s *session) print(v any, fill func(w *rows)) error {
	if s.options.Output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := &rows{tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)}
	fill(w)
	return w.Flush()
}

// rows writes cells in columns.
type rows struct{ *tabwriter.Writer }

// section ends the columns so far and starts others below an empty line.
func (t *rows) section() {
	fmt.Fprintln(t)
	_ = t.Flush()
}

func (t *rows) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t, strings.Join(texts, "\t"))
}
