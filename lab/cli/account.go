package cli

import (
	"os"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/explain"
	"cobaltramp.example/cobaltramp/lab/account"
)

type accountCommand struct {
	Logs       []string `long:"log" description:"file with log lines of the day; may be given more than once"`
	Positional struct {
		Report string `positional-arg-name:"REPORT" description:"report of one day, as the users' bench writes it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	file, err := os.Open(c.Positional.Report)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	report, err := account.Read(file)
	if err != nil {
		return trace.Wrap(err, "%s", c.Positional.Report)
	}
	var lines []explain.Line
	for _, path := range c.Logs {
		more, err := readLines(path)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	return trace.Wrap(account.Print(os.Stdout, report, account.CountOutcomes(lines)))
}

func readLines(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Parse(path, file)
	return lines, trace.Wrap(err, "%s", path)
}
