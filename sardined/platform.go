package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/platform"
	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/sard/logs"
)

// platformCommand is the first argument that selects the subcommand platform.
const platformCommand = "platform"

// platformSettings are the flags of the subcommand platform. All other settings come from the platform's settings file.
type platformSettings struct {
	Settings string          `long:"settings" description:"path of the platform's settings file; SARDINELINE_NODE_FILE is used when it is not given"`
	Check    bool            `long:"check" description:"check the settings and exit"`
	Pool     poolSettings    `group:"Pool" namespace:"pool" env-namespace:"SARDINED_POOL"`
	Log      loggingSettings `group:"Logging" namespace:"log" env-namespace:"SARDINED_LOG"`
}

// poolSettings are the flags that switch on optional features of the pool.
type poolSettings struct {
	RunTimes      bool `long:"run-times" env:"RUN_TIMES" description:"forecast run times from work that has ended; without it, the submitters' estimates are used as they are"`
	WorkerSpeeds  bool `long:"worker-speeds" env:"WORKER_SPEEDS" description:"place work by the learned speeds of workers"`
	MinSpeedRacks int  `long:"worker-speeds-min-racks" env:"WORKER_SPEEDS_MIN_RACKS" default:"12" description:"number of racks from which on work is placed by the speeds of workers; in a smaller pool, gangs need the racks that happen to be empty"`
	Admission     bool `long:"admission" env:"ADMISSION" description:"while there is too little room, refuse the submissions whose refusal costs callers least"`
	StoreCheck    bool `long:"store-check" env:"STORE_CHECK" description:"refuse submissions at once while the store is known not to answer"`
}

// features converts the flags.
func (s poolSettings) features() platform.Features {
	return platform.Features(s)
}

// runPlatform runs the subcommand platform, an entry instance on the users' platform, and returns the exit code.
func runPlatform(args []string) int {
	s, err := parsePlatformArgs(args)
	if err != nil {
		return reportParseError(err)
	}
	if s.Check {
		return checkPlatformSettings(s.Settings)
	}
	return servePlatform(s)
}

// parsePlatformArgs returns the settings in the arguments and the environment. Its error is a flags.Error; of type
// flags.ErrHelp if help was asked for.
func parsePlatformArgs(args []string) (platformSettings, error) {
	var s platformSettings
	parser := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "sardined " + platformCommand
	_, err := parser.ParseArgs(args)
	if s.Settings == "" {
		s.Settings = os.Getenv(conf.SettingsPathEnv)
	}
	return s, err
}

// servePlatform runs an entry instance until it is told to end, and returns the exit code.
func servePlatform(s platformSettings) int {
	logWriter := logs.NewWriter(os.Stdout)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var writer errgroup.Group
	writer.Go(func() error { return logWriter.Run(writerCtx) })
	defer func() {
		logWriter.Flush()
		stopWriter()
	}()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "sardined", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: logWriter,
	})
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	instance, err := platform.New(s.Settings, s.Pool.features(), reloadSignals, log)
	if err != nil {
		log.Error("invalid settings", "error", err)
		return exitBadSettings
	}
	instance.Registry().MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "sardine", Name: "log_lines_dropped_total", Help: "Log lines that nobody took in time."},
		func() float64 { return float64(logWriter.Dropped()) },
	))
	log.Info("instance starting", "version", version, "settings", s.Settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := instance.Run(ctx); err != nil {
		log.Error("instance failed", "error", err)
		return exitFailed
	}
	return exitOK
}

// checkPlatformSettings validates the platform's settings file and returns the exit code.
func checkPlatformSettings(path string) int {
	if _, err := conf.Load(path); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitBadSettings
	}
	_, _ = os.Stdout.WriteString("settings are good\n")
	return exitOK
}
