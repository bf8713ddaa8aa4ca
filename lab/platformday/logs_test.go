package platformday

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// violatedRequest matches the id of the request in a violation.
var violatedRequest = regexp.MustCompile(`request ([^ :]+)`)

// logsOf returns the lines of all nodes about the requests in the violations, and the last lines
// of each node's log, for the message of a failed test.
func logsOf(violations []string, folder string) string {
	var text strings.Builder
	for _, violation := range violations {
		if found := violatedRequest.FindStringSubmatch(violation); found != nil {
			fmt.Fprintf(&text, "== request %s\n%s", found[1], linesWith(folder, fmt.Sprintf("id=%q", found[1])))
		}
	}
	return text.String() + logTails(folder)
}

// logTails returns the last lines of each node's log, for the message of a failed test.
func logTails(folder string) string {
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range paths {
		content, _ := os.ReadFile(path)
		lines := strings.Split(string(content), "\n")
		fmt.Fprintf(&text, "== %s\n%s\n", filepath.Base(path), strings.Join(lines[max(0, len(lines)-40):], "\n"))
	}
	return text.String()
}
