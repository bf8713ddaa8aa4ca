// Package cli is the command line of cobaltramp-lab.
package cli

import (
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commands struct {
	Verbose int `short:"v" long:"verbosity" description:"log level of the nodes: 0 errors and changes of state only, 2 more" default:"-1"`

	Demo demoCommand `command:"demo" description:"run the whole path with a node killed in the middle, and count what came of it"`
	Up   upCommand   `command:"up" description:"start the demonstration's deployment and keep it running"`

	Bench       benchCommands      `command:"bench" description:"measure single parts"`
	Run         runCommand         `command:"run" description:"run a scenario with its policies and seeds, and write result and report"`
	Compare     compareCommand     `command:"compare" description:"print the ratios of two results"`
	PlatformDay platformDayCommand `command:"platform-day" description:"play a short day of a platform deployment: real processes, stand-ins, faults"`
	Soak        soakCommand        `command:"soak" description:"real processes whose callers keep their connections, under series of signals, restarts and changes that overlap"`
	Account     accountCommand     `command:"account" description:"print where the worth of a day of the users' bench was lost"`
}

// Main runs the command line and returns the process's exit code.
func Main(arguments []string) int {
	var root commands
	parser := flags.NewNamedParser("cobaltramp-lab", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &root); err != nil {
		return printError(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		configureLogs(root.Verbose)
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if usage, ok := err.(*flags.Error); ok {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	return printError(err)
}

func printError(err error) int {
	fmt.Fprintln(os.Stderr, "cobaltramp-lab:", trace.UserMessage(err))
	return exitFailure
}

// configureLogs writes the nodes' logs to standard error, or discards them if verbosity
// is negative.
func configureLogs(verbosity int) {
	options := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(options)
	settings := map[string]string{"logtostderr": "true"}
	if verbosity < 0 {
		settings = map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "log_file": os.DevNull}
	} else {
		settings["v"] = fmt.Sprint(verbosity)
	}
	for name, value := range settings {
		_ = options.Set(name, value) // cannot fail: klog defines these flags
	}
}
