package platformday

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

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
