package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
)

// TestMeanAndP99 checks the mean and the 99th percentile of no, one and a hundred unsorted times.
func TestMeanAndP99(t *testing.T) {
	hundred := make([]time.Duration, 100)
	for i := range hundred {
		hundred[i] = time.Duration(100-i) * time.Second
	}
	tests := []struct {
		name      string
		times     []time.Duration
		mean, p99 time.Duration
	}{
		{"none", nil, 0, 0},
		{"one", []time.Duration{3 * time.Second}, 3 * time.Second, 3 * time.Second},
		{"hundred", hundred, 50500 * time.Millisecond, 99 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mean, p99 := meanAndP99(tt.times)
			assert.Equal(t, mean, ident.Duration(tt.mean))
			assert.Equal(t, p99, ident.Duration(tt.p99))
		})
	}
}
