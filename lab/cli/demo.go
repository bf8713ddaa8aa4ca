package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/demo"
)

type demoCommand struct {
	Items   int     `long:"items" description:"items of the batch job" default:"3000"`
	Rate    float64 `long:"rate" description:"online requests a second" default:"30"`
	Seconds int     `long:"seconds" description:"seconds of online load" default:"15"`
	NoKill  bool    `long:"no-kill" description:"kill no node"`
	JSON    bool    `long:"json" description:"print one JSON object as the last line"`
}

// Execute implements flags.Commander.
func (d *demoCommand) Execute([]string) error {
	report, err := demo.Run(demo.Options{Items: d.Items, Rate: d.Rate, Seconds: d.Seconds, JSON: d.JSON, KillNode: !d.NoKill}, os.Stdout)
	if err != nil {
		return trace.Wrap(err)
	}
	if !report.Passed() {
		return trace.BadParameter("a promise was broken")
	}
	return nil
}

type upCommand struct {
	Folder string `long:"folder" description:"where the nodes' data folders lie (default: a temporary folder)"`
}

// Execute implements flags.Commander.
func (u *upCommand) Execute([]string) error {
	folder := u.Folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "cobaltramp-up-")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	deployment, err := demo.StartDeployment(folder)
	if err != nil {
		return trace.Wrap(err)
	}
	defer deployment.Close()
	demo.Describe(deployment, folder, os.Stdout)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}
