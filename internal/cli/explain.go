package cli

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/explain"
)

type explainCommand struct {
	Logs      []string `short:"l" long:"logs" description:"log file of a process; may be given often; standard input if left out"`
	Arguments struct {
		ID string `positional-arg-name:"id" description:"id of a request, a batch item or a job"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	if len(c.Logs) == 0 {
		parsed, err := explain.Parse("stdin", os.Stdin)
		if err != nil {
			return trace.Wrap(err, "reading standard input")
		}
		lines = parsed
	}
	for _, path := range c.Logs {
		parsed, err := parseFile(path)
		if err != nil {
			return trace.Wrap(err, "reading %s", path)
		}
		lines = append(lines, parsed...)
	}
	story := explain.Tell(c.Arguments.ID, lines)
	return output.print(story, func() { story.Print(os.Stdout) })
}

func parseFile(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	return explain.Parse(filepath.Base(path), io.Reader(file))
}
