package main

import (
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the flags that all commands share.
type options struct {
	Addresses []string      `long:"address" short:"a" env:"SARDINE_ADDRESS" env-delim:"," default:"http://127.0.0.1:7400" value-name:"URL" description:"address of an instance; may be repeated, addresses are tried in turn"`
	Token     string        `long:"token" env:"SARDINE_TOKEN" value-name:"TOKEN" description:"bearer token of an operator or client account"`
	CAFile    string        `long:"ca-file" env:"SARDINE_CA_FILE" value-name:"FILE" description:"file of PEM CA certificates to verify instances with; defaults to the system's"`
	Output    string        `long:"output" short:"o" env:"SARDINE_OUTPUT" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout   time.Duration `long:"timeout" env:"SARDINE_TIMEOUT" default:"30s" description:"time limit for the whole command"`
	Version   func() error  `long:"version" description:"print the version and exit"`
}

// command is a subcommand with its name, its help texts and its flags.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// commands returns all subcommands, bound to the session s.
func commands(s *session) []command {
	return []command{
		{"apply", "Apply a document", "Submits a document (YAML or JSON) for acceptance and prints its changes. Safe to repeat: each call creates at most one version.", &applyCommand{session: s}},
		{"check", "Check a document or a pool's configuration before it is sent", "Reports errors, entries without effect and contradicting limits, and with --against the changes. Needs no connection without --running.", &checkCommand{session: s}},
		{"diff", "Compare a document with the one in force", "Prints the changes that applying a document would make.", &diffCommand{session: s}},
		{"document", "Print the document in force or an accepted version", "Prints a document in the format that apply reads.", &documentCommand{session: s}},
		{"history", "List the accepted versions", "Lists accepted versions, newest first.", &historyCommand{session: s}},
		{"restore", "Restore an earlier version", "Creates a new version with the content of an earlier one.", &restoreCommand{session: s}},
		{"proof", "Print the proof of the document in force", "Asks all instances whether the document in force is proven.", &proofCommand{session: s}},
		{"promote", "Promote a proven document from the trial environment", "Reads the document and its proof from the trial environment and submits them to the instance at --address.", &promoteCommand{session: s}},
		{"status", "Show instances, domains and shortages", "Shows the version that each instance runs, the holder of each domain, and the guarantees that lack capacity.", &statusCommand{session: s}},
		{"report", "Show job completion times and fragmentation", "Summarises the jobs of all accounts and the fragmentation of each domain. Needs an operator's token.", &reportCommand{session: s}},
		{"drain", "Drain an instance", "Makes an instance hand over its domains, finish its requests and exit.", &drainCommand{session: s}},
		{"submit", "Submit a job", "Submits a job. Safe to repeat with the same --key.", &submitCommand{session: s}},
		{"get", "Show a job", "Shows a job of the account.", &getCommand{session: s}},
		{"list", "List jobs", "Lists the jobs of the account, or with --all the jobs of all accounts (operators only).", &listCommand{session: s}},
		{"cancel", "Cancel jobs", "Cancels jobs of the account. Safe to repeat.", &cancelCommand{session: s}},
		{"explain", "Explain why a job waits or where it was placed", "Explains why a job waits, or where and why it was placed.", &explainCommand{session: s}},
		{"trace", "Show the log lines of a job", "Reads the JSON logs of all instances from files or standard input and prints the lines that contain the given id, sorted by time.", &traceCommand{session: s}},
		{"causes", "Analyse logs for the causes of late jobs", "Reads the JSON logs of all instances from files or standard input and prints the number of jobs per priority and cause of delay, and the lost work per reason.", &causesCommand{session: s}},
		{"waits", "Tell why a job of the pool waits", "Asks the instances at --address, which is that of their metrics, for the one that schedules the pool, and prints why the groups of a job wait, since when, and what ends that.", &waitsCommand{session: s}},
		{"wait", "Wait until jobs have ended", "Waits until all given jobs have ended. Fails if a job did not succeed.", &waitCommand{session: s}},
		{"request", "Send a short request", "Sends a request to a backend server and prints the response. Does not retry a request that may have been received.", &requestCommand{session: s}},
		{"completion", "Print the shell completion script", "Prints a completion script for bash. Load it with: source <(sardctl completion)", &completionCommand{session: s}},
	}
}

// printVersion returns an error with the program's version as its message. The parser calls it for --version, and the
// error ends parsing.
func printVersion() error {
	return &flags.Error{Type: flags.ErrHelp, Message: "sardctl " + version}
}

// newParser returns the parser of the command line, which runs the commands with the session s.
func newParser(s *session) (*flags.Parser, error) {
	s.options.Version = printVersion
	parser := flags.NewNamedParser("sardctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodesHelp
	if _, err := parser.AddGroup("Options", "", &s.options); err != nil {
		return nil, err
	}
	for _, c := range commands(s) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, err
		}
	}
	return parser, nil
}
