// Command resultcodes generates docs/RESULT_CODES.md from the table of result codes.
package main

import (
	"fmt"
	"os"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

const page = "docs/RESULT_CODES.md"

func main() {
	if err := os.WriteFile(page, []byte(result.Page()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "resultcodes:", err)
		os.Exit(1)
	}
}
