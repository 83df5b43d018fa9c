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

// session holds the global options and the standard streams of a run of the program. Every command has one.
type session struct {
	options options
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
}

// connect returns a client for the instances at --address and a context that ends after --timeout.
func (s *session) connect() (*client, context.Context, context.CancelFunc, error) {
	c, err := newClient(s.options.Addresses, s.options.Token, s.options.CAFile)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
	return c, ctx, cancel, nil
}

// fetch sends a call and decodes the JSON body of the response.
func fetch[T any](s *session, call apiCall) (T, error) {
	var v T
	c, ctx, cancel, err := s.connect()
	if err != nil {
		return v, err
	}
	defer cancel()
	err = c.do(ctx, call, &v)
	return v, err
}

// newGetCall returns a GET call of a path.
func newGetCall(path string) apiCall {
	return apiCall{method: http.MethodGet, path: path}
}

// newPostCall returns a POST call of a path with v as its JSON body.
func newPostCall(path string, v any) (apiCall, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return apiCall{}, fault.Wrap(err, fault.Internal, "encode call", "")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return apiCall{method: http.MethodPost, path: path, header: header, body: body}, nil
}

// readFile reads a file, or standard input for "-".
func (s *session) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.stdin)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read file", "")
	}
	return text, nil
}

// print prints v as JSON or, with table output, calls writeTable, which prints it as a table.
func (s *session) print(v any, writeTable func(w *tableWriter)) error {
	if s.options.Output == "json" {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := &tableWriter{tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)}
	writeTable(w)
	return w.Flush()
}

// tableWriter prints tables whose cells are aligned in columns.
type tableWriter struct{ *tabwriter.Writer }

// startSection begins another table: it prints an empty line, and the column widths before it no longer apply.
func (w *tableWriter) startSection() {
	fmt.Fprintln(w)
	_ = w.Flush()
}

// writeRow prints a row of cells.
func (w *tableWriter) writeRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
