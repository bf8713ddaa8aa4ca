package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/scenario"
)

type runCommand struct {
	Out       string   `long:"out" default:"lab-out" description:"folder for the result (JSON) and the report (HTML)"`
	Policies  []string `long:"policy" description:"run only these policies"`
	Arguments struct {
		File string `positional-arg-name:"scenario" description:"scenario file (YAML)"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (r *runCommand) Execute([]string) error {
	loaded, err := scenario.Load(r.Arguments.File)
	if err != nil {
		return err
	}
	if len(r.Policies) > 0 {
		loaded.Policies = r.Policies
	}
	result, err := scenario.Run(loaded, os.Stdout)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(r.Out, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	base := filepath.Join(r.Out, loaded.Name)
	encoded, err := json.Marshal(result)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(base+".json", encoded, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := result.WriteHTML(base + ".html"); err != nil {
		return err
	}
	result.WriteText(os.Stdout)
	fmt.Printf("result %s.json, report %s.html\n", base, base)
	for _, summary := range result.Summaries() {
		if len(summary.Violations) > 0 {
			return trace.BadParameter("promises were broken")
		}
	}
	return nil
}

type compareCommand struct {
	Arguments struct {
		Before string `positional-arg-name:"before" description:"result file (JSON)"`
		After  string `positional-arg-name:"after" description:"result file (JSON)"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	before, err := readResult(c.Arguments.Before)
	if err != nil {
		return err
	}
	after, err := readResult(c.Arguments.After)
	if err != nil {
		return err
	}
	scenario.Compare(before, after, os.Stdout)
	return nil
}

func readResult(path string) (*scenario.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "result file")
	}
	var result scenario.Result
	if err := json.Unmarshal(text, &result); err != nil {
		return nil, trace.BadParameter("result file %s: %v", path, err)
	}
	return &result, nil
}
