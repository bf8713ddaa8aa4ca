package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/node"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/app/textlog"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

type nodeCommand struct {
	Settings  string `short:"s" long:"settings" required:"true" description:"path of the settings file (YAML)"`
	ID        string `long:"id" description:"overrides node.id"`
	Zone      string `long:"zone" description:"overrides node.zone"`
	Region    string `long:"region" description:"overrides node.region"`
	Internal  string `long:"internal-address" description:"overrides node.internal_address"`
	API       string `long:"api-address" description:"overrides node.api_address"`
	Admin     string `long:"admin-address" description:"overrides node.admin_address"`
	Data      string `long:"data" description:"overrides data.folder"`
	Verbosity int    `short:"v" long:"verbosity" default:"0" description:"log level; 0 logs changes of state only"`
}

// load reads the settings file and applies the flags that override it.
func (n *nodeCommand) load() (*settings.Settings, error) {
	loaded, err := settings.Load(n.Settings)
	if err != nil {
		return nil, err
	}
	overrides := []struct {
		flag  string
		field *string
	}{
		{n.ID, &loaded.Node.ID}, {n.Zone, &loaded.Node.Zone}, {n.Region, &loaded.Node.Region},
		{n.Internal, &loaded.Node.InternalAddress}, {n.API, &loaded.Node.APIAddress},
		{n.Admin, &loaded.Node.AdminAddress}, {n.Data, &loaded.Data.Folder},
	}
	for _, override := range overrides {
		if override.flag != "" {
			*override.field = override.flag
		}
	}
	return loaded, trace.Wrap(loaded.Validate(), "flags")
}

// Execute implements flags.Commander. It runs the node until SIGINT or SIGTERM, which starts
// a graceful stop. A second signal ends the process at once.
func (n *nodeCommand) Execute([]string) error {
	textlog.SetOutput(os.Stderr, n.Verbosity)
	loaded, err := n.load()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	running, err := node.Start(loaded)
	if err != nil {
		return err
	}
	<-signals
	stopped := make(chan struct{})
	var stopping tasks.Group
	stopping.Go(func() {
		running.Stop(context.Background())
		close(stopped)
	})
	select {
	case <-stopped:
		return nil
	case <-signals:
		klog.InfoS("second signal, ending at once", "node", loaded.Node.ID)
		running.Kill()
		return trace.BadParameter("ended by a second signal before the planned stop was done")
	}
}

type settingsCommand struct {
	Check settingsCheckCommand `command:"check" description:"decode and check a settings file"`
}

type settingsCheckCommand struct {
	Arguments struct {
		File string `positional-arg-name:"file" description:"settings file (YAML)"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *settingsCheckCommand) Execute([]string) error {
	loaded, err := settings.Load(s.Arguments.File)
	if err != nil {
		return err
	}
	return output.print(loaded, func() {
		fmt.Printf("%s is valid: node %s in zone %s\n", s.Arguments.File, loaded.Node.ID, loaded.Node.Zone)
	})
}
