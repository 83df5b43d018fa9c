package main

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/intake"
)

// settings are the settings of an instance, from flags and environment variables.
type settings struct {
	Version bool `long:"version" description:"print the version"`

	Instance    string `long:"instance" env:"SARDINED_INSTANCE" description:"name of this instance, unique in the environment"`
	DataCentre  string `long:"data-centre" env:"SARDINED_DATA_CENTRE" description:"data centre of this instance"`
	Environment string `long:"environment" env:"SARDINED_ENVIRONMENT" default:"production" description:"name of the environment; it keeps environments apart in one table"`

	API    string `long:"listen" env:"SARDINED_LISTEN" default:"127.0.0.1:7400" description:"IP number and port of the API of callers and operators"`
	Health string `long:"listen-health" env:"SARDINED_LISTEN_HEALTH" default:"127.0.0.1:7401" description:"IP number and port of /livez, /readyz and /metrics, which need no token"`
	Peers  string `long:"listen-peers" env:"SARDINED_LISTEN_PEERS" default:"127.0.0.1:7402" description:"IP number and port of the peer link, reachable from the other instances"`

	Seeds []string `long:"seed" env:"SARDINED_SEEDS" env-delim:"," description:"IP number and port of another instance's peer link, for instances that the platform's list does not show yet; may be given several times"`

	Table   tableSettings   `group:"Table service" namespace:"table" env-namespace:"SARDINED_TABLE"`
	Object  objectSettings  `group:"Object store" namespace:"object" env-namespace:"SARDINED_OBJECT"`
	Fleet   fleetSettings   `group:"Platform's list" namespace:"fleet" env-namespace:"SARDINED_FLEET"`
	Secrets secretSettings  `group:"Tokens and TLS"`
	Config  configSettings  `group:"Configuration" namespace:"config" env-namespace:"SARDINED_CONFIG"`
	Stop    stopSettings    `group:"Planned stop" namespace:"stop" env-namespace:"SARDINED_STOP"`
	Limits  limitSettings   `group:"Limits" namespace:"limits" env-namespace:"SARDINED_LIMITS"`
	Log     loggingSettings `group:"Logging" namespace:"log" env-namespace:"SARDINED_LOG"`
}

// tableSettings are the settings of the client of the table service.
type tableSettings struct {
	Endpoint  string `long:"endpoint" env:"ENDPOINT" description:"URL of the table service"`
	Region    string `long:"region" env:"REGION" default:"local" description:"region that signs the calls"`
	Name      string `long:"name" env:"NAME" default:"sardineline" description:"name of the table"`
	AccessKey string `long:"access-key" env:"ACCESS_KEY" default:"sardineline" description:"access key"`
	SecretKey string `long:"secret-key" env:"SECRET_KEY" default:"sardineline" description:"secret key"`
}

// objectSettings are the settings of the client of the object store.
type objectSettings struct {
	Endpoint  string `long:"endpoint" env:"ENDPOINT" description:"URL of the object store; empty for none"`
	Region    string `long:"region" env:"REGION" default:"local" description:"region that signs the calls"`
	Bucket    string `long:"bucket" env:"BUCKET" default:"sardineline" description:"bucket"`
	AccessKey string `long:"access-key" env:"ACCESS_KEY" default:"sardineline" description:"access key"`
	SecretKey string `long:"secret-key" env:"SECRET_KEY" default:"sardineline" description:"secret key"`
}

// fleetSettings are the settings of the client that reads the platform's list.
type fleetSettings struct {
	URL    string        `long:"url" env:"URL" description:"URL of the platform's list, without path"`
	Period time.Duration `long:"period" env:"PERIOD" default:"5s" description:"time between two readings of the list"`
}

// secretSettings are the bearer tokens of callers and instances and the files of certificates and keys.
type secretSettings struct {
	Tokens     string `long:"tokens" env:"SARDINED_TOKENS" description:"YAML file with the SHA-256 of the bearer tokens"`
	PeerSecret string `long:"peer-secret" env:"SARDINED_PEER_SECRET" description:"bearer token that instances show each other"`
	Cert       string `long:"tls-cert" env:"SARDINED_TLS_CERT" description:"PEM file with the certificate of the listeners"`
	Key        string `long:"tls-key" env:"SARDINED_TLS_KEY" description:"PEM file with its private key"`
	Authority  string `long:"tls-authority" env:"SARDINED_TLS_AUTHORITY" description:"PEM file with the certificates that sign those of the instances"`
}

// configSettings are the settings of the agent that accepts documents.
type configSettings struct {
	RequireProof bool   `long:"require-proof" env:"REQUIRE_PROOF" description:"accept only documents that were proven in trial"`
	PromotionKey string `long:"promotion-key" env:"PROMOTION_KEY" description:"key that trial and production share to sign proofs"`
}

// stopSettings are the time limits of a graceful shutdown.
type stopSettings struct {
	Unready time.Duration `long:"unready" env:"UNREADY" default:"5s" description:"time in which the balancer notices that the instance is not ready"`
	Drain   time.Duration `long:"drain" env:"DRAIN" default:"60s" description:"most time for requests in flight to end"`
}

// limitSettings say what the process may use. What clients may make it hold follows from them.
type limitSettings struct {
	MemoryMiB   int64 `long:"memory" env:"MEMORY" default:"512" description:"memory that the process may use, in MiB"`
	Descriptors int   `long:"descriptors" env:"DESCRIPTORS" description:"file descriptors that the process may use; 0 for as many as the operating system allows"`
}

// machine returns the machine that the process may use.
func (s limitSettings) machine() intake.Machine {
	return intake.Machine{MemoryBytes: s.MemoryMiB << 20, Descriptors: s.Descriptors}
}

// loggingSettings are the level and the format of the log.
type loggingSettings struct {
	Level string `long:"level" env:"LEVEL" default:"info" choice:"trace" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	JSON  bool   `long:"json" env:"JSON" description:"write the log as JSON"`
}

// parseSettings parses and validates flags and environment variables. If the help text was requested, it returns a
// *flags.Error of type ErrHelp whose message is that text.
func parseSettings(args []string) (settings, error) {
	var s settings
	parser := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "sardined"
	parser.LongDescription = "The daemon of an entry instance. Exit codes: 0 stopped by plan, 1 failed, 2 bad settings."
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return s, err
	}
	if s.Version {
		return s, nil
	}
	if len(rest) > 0 {
		return s, fmt.Errorf("unexpected argument %q", rest[0])
	}
	return s, s.validate()
}

// problems collects an error for each setting that is invalid.
type problems []error

// add records that the value of a flag is invalid. format and args describe why.
func (p *problems) add(flag, format string, args ...any) {
	*p = append(*p, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// required records a problem if the value of a flag is empty.
func (p *problems) required(flag, value string) {
	if value == "" {
		p.add(flag, "must be set")
	}
}

// address records a problem if the value of a flag is not an IP address with a port.
func (p *problems) address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.add(flag, "%q is not an IP address and port", value)
	}
}

// positive records a problem if the value of a flag is not a positive duration.
func (p *problems) positive(flag string, value time.Duration) {
	if value <= 0 {
		p.add(flag, "%s is not greater than 0", value)
	}
}

// url records a problem if the value of a flag is not an http or https URL whose host is an IP address.
func (p *problems) url(flag, value string) {
	u, err := url.Parse(value)
	switch {
	case value == "":
		p.add(flag, "must be set")
	case err != nil || u.Host == "" || !strings.HasPrefix(u.Scheme, "http"):
		p.add(flag, "%q is not an http or https URL", value)
	default:
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			p.add(flag, "the host of %q is not an IP address", value)
		}
	}
}

// minMemoryMiB is the least memory that an instance can work with, in MiB.
const minMemoryMiB = 64

// validate returns an error that lists each invalid setting.
func (s settings) validate() error {
	var p problems
	p.required("instance", s.Instance)
	p.required("data-centre", s.DataCentre)
	p.required("tokens", s.Secrets.Tokens)
	p.address("listen", s.API)
	p.address("listen-health", s.Health)
	p.address("listen-peers", s.Peers)
	for _, seed := range s.Seeds {
		p.address("seed", seed)
	}
	p.url("table.endpoint", s.Table.Endpoint)
	p.url("fleet.url", s.Fleet.URL)
	if s.Object.Endpoint != "" {
		p.url("object.endpoint", s.Object.Endpoint)
	}
	p.positive("fleet.period", s.Fleet.Period)
	p.positive("stop.drain", s.Stop.Drain)
	if s.Limits.MemoryMiB < minMemoryMiB {
		p.add("limits.memory", "%d is less than %d", s.Limits.MemoryMiB, minMemoryMiB)
	}
	if s.Limits.Descriptors < 0 {
		p.add("limits.descriptors", "%d is negative", s.Limits.Descriptors)
	}
	if s.Stop.Unready < 0 {
		p.add("stop.unready", "%s is negative", s.Stop.Unready)
	}
	if (s.Secrets.Cert == "") != (s.Secrets.Key == "") {
		p.add("tls-cert", "needs --tls-key, and vice versa")
	}
	if s.Secrets.Cert != "" && s.Secrets.Authority == "" {
		p.add("tls-authority", "must be set with --tls-cert")
	}
	return errors.Join(p...)
}

// tlsFiles returns the paths of the files with the certificates and the private key.
func (s secretSettings) tlsFiles() creds.TLSFiles {
	return creds.TLSFiles{CertFile: s.Cert, KeyFile: s.Key, CAFile: s.Authority}
}
