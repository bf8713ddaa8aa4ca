package platformday

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// linesWith returns the lines of all nodes that contain a text, after the name of the node's log.
func linesWith(folder, wanted string) string {
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range paths {
		content, _ := os.ReadFile(path)
		for line := range strings.SplitSeq(string(content), "\n") {
			if strings.Contains(line, wanted) {
				fmt.Fprintf(&text, "%s: %s\n", filepath.Base(path), line)
			}
		}
	}
	return text.String()
}
