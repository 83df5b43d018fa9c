package main

import (
	"context"
	"errors"
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

// platformCommand is the word that selects runPlatform.
const platformCommand = "platform"

// platformSettings are the flags of an instance on the users' platform. All else comes from the platform's file.
type platformSettings struct {
	Settings string          `long:"settings" description:"path of the platform's settings file; SARDINELINE_NODE_FILE is used when it is not given"`
	Check    bool            `long:"check" description:"check the settings and exit"`
	Log      loggingSettings `group:"Logging" namespace:"log" env-namespace:"SARDINED_LOG"`
}

// runPlatform runs an entry instance on the users' platform.
func runPlatform(args []string) int {
	var s platformSettings
	parser := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "sardined " + platformCommand
	_, err := parser.ParseArgs(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(help.Message + "\n")
		return exitStopped
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitSettings
	}
	if s.Settings == "" {
		s.Settings = os.Getenv(conf.SettingsPathEnv)
	}
	if s.Check {
		return checkPlatform(s.Settings)
	}
	lines := logs.NewWriter(os.Stdout)
	writing, stopWriting := context.WithCancel(context.Background())
	var writer errgroup.Group
	writer.Go(func() error { return lines.Run(writing) })
	defer func() {
		lines.Flush()
		stopWriting()
	}()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "sardined", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: lines,
	})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	instance, err := platform.New(s.Settings, hangups, log)
	if err != nil {
		log.Error("settings refused", "error", err)
		return exitSettings
	}
	instance.Registry().MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "sardine", Name: "log_lines_dropped_total", Help: "Log lines that nobody took in time."},
		func() float64 { return float64(lines.Dropped()) },
	))
	log.Info("starting", "version", version, "settings", s.Settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := instance.Run(ctx); err != nil {
		log.Error("instance failed", "error", err)
		return exitFailed
	}
	return exitStopped
}

// checkPlatform tells whether the settings file could be used.
func checkPlatform(path string) int {
	if _, err := conf.Load(path); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitSettings
	}
	_, _ = os.Stdout.WriteString("settings are good\n")
	return exitStopped
}
