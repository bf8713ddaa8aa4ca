package cli

import (
	"flag"
	"os"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/asynclog"
	"cobaltramp.example/cobaltramp/internal/app/role"
)

type roleOptions struct {
	Settings  string `short:"s" long:"settings" required:"true" description:"path of the role's settings file (YAML)"`
	Verbosity int    `short:"v" long:"verbosity" default:"0" description:"log level; 0 logs decisions"`
}

type edgeCommand struct{ roleOptions }

// Execute implements flags.Commander.
func (c *edgeCommand) Execute([]string) error { return c.run(role.Edge) }

type storageCommand struct{ roleOptions }

// Execute implements flags.Commander.
func (c *storageCommand) Execute([]string) error { return c.run(role.Storage) }

func (o *roleOptions) run(name string) error {
	writer := asynclog.New(os.Stdout)
	defer writer.Close()
	logToWriter(writer, o.Verbosity)
	err := role.Run(name, o.Settings)
	if err != nil {
		klog.ErrorS(err, "ended", "role", name)
	}
	klog.Flush()
	return err
}

// logToWriter makes klog write to a writer with the given verbosity.
func logToWriter(writer *asynclog.Writer, verbosity int) {
	options := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(options)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "skip_headers": "false"} {
		setKlogOption(options, name, value)
	}
	setKlogVerbosity(options, verbosity)
	klog.SetOutput(writer)
}
