// Command standin runs the stand-in, a simulation of the platform for tests. It serves the table service, the object
// store, the fleet list, the workers and the backend servers on loopback.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/standin/setup"
	"github.com/sardineline/sardineline/standin/world"
)

// version is the version of the program. Builds set it through the linker.
var version = "devel"

// Exit codes of the program.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// usage is the description in the help text: the ports of the listeners and the paths of the control listener.
const usage = `Simulates the platform, the workers and the backend servers on loopback.

The listeners start at the base port: +0 table service (DynamoDB API), +1 object store (S3 API), +2 fleet list (GET /v1/fleet),
+3 control, +100 onwards workers, +500 onwards backend servers, both in the order of the environment file.

The control listener serves GET /v1/ledger (what was executed; ?totals=1 for the totals only), POST /v1/expected,
GET, POST and DELETE /v1/faults, POST /v1/instances, DELETE /v1/instances/<name> and GET /v1/counts.`

// options are the command-line flags, which environment variables can also set.
type options struct {
	Environment string `long:"environment" short:"e" env:"STANDIN_ENVIRONMENT" description:"environment file (YAML)" required:"true"`
	Host        string `long:"host" env:"STANDIN_HOST" default:"127.0.0.1" description:"IP number of all listeners"`
	Base        int    `long:"base" env:"STANDIN_BASE" default:"21000" description:"first port"`
	Seed        uint64 `long:"seed" env:"STANDIN_SEED" description:"seed of the faults' draws, in place of the environment file's"`
	Level       string `long:"level" env:"STANDIN_LEVEL" default:"info" description:"log level: trace, debug, info, warn or error"`
	JSON        bool   `long:"json" env:"STANDIN_JSON" description:"write the log as JSON"`
	Version     bool   `long:"version" description:"print the version"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the flags, serves until a signal arrives and returns the exit code.
func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = usage
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(flagsErr.Message)
		return exitOK
	}
	if opts.Version {
		_, _ = os.Stdout.WriteString(version + "\n")
		return exitOK
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitUsage
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", Level: hclog.LevelFromString(opts.Level), JSONFormat: opts.JSON})
	if err := serve(opts, log); err != nil {
		log.Error("stand-in failed", "Error", err)
		return exitFailed
	}
	return exitOK
}

// serve runs the simulated platform of the environment file until SIGINT or SIGTERM.
func serve(opts options, log hclog.Logger) error {
	environment, err := setup.Load(opts.Environment)
	if err != nil {
		return err
	}
	if opts.Seed != 0 {
		environment.Seed = opts.Seed
	}
	ports := setup.Ports{Host: opts.Host, Base: opts.Base}
	platform, err := world.New(world.Config{Environment: environment, Ports: ports, Logger: log})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return platform.Serve(ctx, world.ListenTCP, func() {
		log.Info("ready", "Table", ports.TableAddr(), "Object", ports.ObjectAddr(), "Fleet", ports.FleetAddr(),
			"Control", ports.ControlAddr(), "Workers", len(platform.Workers), "Servers", len(platform.Servers))
	})
}
