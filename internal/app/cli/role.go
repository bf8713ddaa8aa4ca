package cli

import (
	"os"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/asynclog"
	"cobaltramp.example/cobaltramp/internal/app/role"
	"cobaltramp.example/cobaltramp/internal/app/textlog"
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
	textlog.SetOutput(writer, o.Verbosity)
	err := role.Run(name, o.Settings)
	if err != nil {
		klog.ErrorS(err, "ended", "role", name)
	}
	klog.Flush()
	return err
}
