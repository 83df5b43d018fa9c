package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// validArgs are arguments that set all required flags to valid values.
var validArgs = []string{
	"--instance=i1", "--data-centre=dc-a", "--tokens=tokens.yaml",
	"--table.endpoint=http://127.0.0.1:21000", "--fleet.url=http://127.0.0.1:21002",
}

// TestSettings checks that the error for invalid settings lists each of them.
func TestSettings(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"good", validArgs, nil},
		{"nothing set", nil, []string{
			"--instance: must be set", "--data-centre: must be set", "--tokens: must be set",
			"--table.endpoint: must be set", "--fleet.url: must be set",
		}},
		{"address", append([]string{"--listen=localhost:80"}, validArgs...), []string{`--listen: "localhost:80" is not an IP address and port`}},
		{"url by name", append([]string{"--object.endpoint=http://store:80"}, validArgs...), []string{`--object.endpoint: the host of "http://store:80" is not an IP address`}},
		{"no url", append([]string{"--object.endpoint=store"}, validArgs...), []string{`--object.endpoint: "store" is not an http or https URL`}},
		{"drain", append([]string{"--stop.drain=0s"}, validArgs...), []string{"--stop.drain: 0s is not greater than 0"}},
		{"half a key pair", append([]string{"--tls-cert=a.pem"}, validArgs...), []string{"--tls-cert: needs --tls-key", "--tls-authority: must be set with --tls-cert"}},
		{"argument", append([]string{"now"}, validArgs...), []string{`unexpected argument "now"`}},
		{"unknown flag", append([]string{"--colour"}, validArgs...), []string{"unknown flag `colour'"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseSettings(tt.args)
			if tt.want == nil {
				assert.NilError(t, err)
			}
			for _, want := range tt.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// TestSettingsFromEnvironment checks that environment variables set the values of flags that are not given.
func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("SARDINED_INSTANCE", "i7")
	t.Setenv("SARDINED_TABLE_NAME", "other")
	s, err := parseSettings(validArgs[1:])
	assert.NilError(t, err)
	assert.Equal(t, s.Instance, "i7")
	assert.Equal(t, s.Table.Name, "other")
}
