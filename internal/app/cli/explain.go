package cli

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/explain"
)

type explainCommand struct {
	Logs      []string `short:"l" long:"logs" description:"log file of a process; may be given often; standard input if left out"`
	Arguments struct {
		ID string `positional-arg-name:"id" description:"id of a request, a batch item or a job"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	story := explain.TimelineOf(c.Arguments.ID, lines)
	return output.print(story, func() { story.Print(os.Stdout) })
}

type tenantCommand struct {
	Logs      []string `short:"l" long:"logs" description:"log file of a process; may be given often; standard input if left out"`
	Arguments struct {
		Name string `positional-arg-name:"tenant" description:"name of a tenant"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *tenantCommand) Execute([]string) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	story := explain.TenantSummaryOf(c.Arguments.Name, lines)
	return output.print(story, func() { story.Print(os.Stdout) })
}

// readLogs parses the given log files, or standard input if there are none.
func readLogs(paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		lines, err := explain.Parse("stdin", os.Stdin)
		return lines, trace.Wrap(err, "reading standard input")
	}
	var lines []explain.Line
	for _, path := range paths {
		parsed, err := parseFile(path)
		if err != nil {
			return nil, trace.Wrap(err, "reading %s", path)
		}
		lines = append(lines, parsed...)
	}
	return lines, nil
}

func parseFile(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }() // the file is only read, so no data can be lost
	return explain.Parse(filepath.Base(path), io.Reader(file))
}
