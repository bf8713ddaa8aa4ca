// Package cli implements the command line of cobaltramp: the commands that run a node (node,
// edge and storage) and the commands for operators and callers, which call a running node or
// read log files. It defines the flags, the exit codes and the output formats.
package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"cobaltramp.example/cobaltramp/internal/app/textlog"
	"cobaltramp.example/cobaltramp/internal/app/version"
)

// Exit codes, which longDescription documents.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

const outputJSON = "json"

type commands struct {
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"how results are printed"`

	Node       nodeCommand       `command:"node" description:"run a node"`
	Edge       edgeCommand       `command:"edge" description:"run an edge of a platform deployment"`
	Storage    storageCommand    `command:"storage" description:"run a storage node of a platform deployment"`
	Settings   settingsCommand   `command:"settings" description:"check a settings file without starting a node"`
	Bundle     bundleCommands    `command:"bundle" description:"make, sign, submit, roll and watch bundles"`
	Job        jobCommands       `command:"job" description:"submit, follow, cancel and read batch jobs"`
	Status     statusCommand     `command:"status" description:"show the nodes of the fleet, or one node in detail"`
	Shard      shardCommand      `command:"shard" description:"show why a queue shard has a serving leader or none: the state of its replicas as they and any node see it"`
	Quarantine quarantineCommand `command:"quarantine" description:"list the requests and the parts of prompts that are held away from runners because they crash them, or lift a hold"`
	Tenant     tenantCommand     `command:"tenant" description:"show what came of a tenant's requests and its limit from log files"`
	Explain    explainCommand    `command:"explain" description:"show the story of a request, item or job from log files"`
	Version    versionCommand    `command:"version" description:"print the version"`
}

// printer prints the results of commands as text or JSON.
type printer struct{ json bool }

var output printer

// print writes the value as JSON, or calls text to print it as text.
func (p printer) print(value any, text func()) error {
	if !p.json {
		text()
		return nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

const longDescription = `cobaltramp serves online and batch inference on one fleet.

Exit codes: 0 done, 1 failed (the message says what, where and what is allowed),
2 wrong usage, 3 the outcome is not known (the message names the operation to ask for).`

// Main runs the command line and returns the process's exit code.
func Main(arguments []string) int {
	var root commands
	parser := flags.NewNamedParser("cobaltramp", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &root); err != nil {
		return report(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		output = printer{json: root.Output == outputJSON}
		if command == nil {
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "name a command; see --help"}
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	return report(err)
}

// outcomeUnknownError is a failure after which the outcome of the operation is not known.
type outcomeUnknownError struct{ error }

// report prints the error of a command and returns the exit code.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	if usage, ok := err.(*flags.Error); ok {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "cobaltramp:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "cobaltramp:", textlog.OneLine(err))
	if _, unknown := err.(outcomeUnknownError); unknown {
		return exitUnknown
	}
	return exitFailed
}

type versionCommand struct{}

type versionBody struct {
	Version string `json:"version"`
}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error {
	return output.print(versionBody{version.Version}, func() { fmt.Println("cobaltramp", version.Version) })
}
