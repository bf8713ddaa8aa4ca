package result

import (
	"fmt"
	"strings"
)

// Page returns the table of result codes as Markdown, which is docs/RESULT_CODES.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Result codes\n\n" +
		"Generated from `internal/app/result` by `go run ./tools/resultcodes`; a test checks that this page is current.\n\n" +
		"Every error a caller sees has this code in `error.code` and `X-Result-Code`, and says in `error.run` and `X-Run`\n" +
		"whether the work was run: `no` only where that is provable. *Resend* says whether sending the same request again\n" +
		"cannot run the work twice. A refusal for now carries `Retry-After`.\n\n" +
		"| code | name | HTTP | run | resend | what an operator does |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, entry := range table {
		resend := "unsafe"
		if entry.ResendSafe {
			resend = "safe"
		}
		fmt.Fprintf(&page, "| %d | `%s` | %d | %s | %s | %s |\n", uint32(entry.Code), entry.Name, entry.HTTPStatus, entry.Ran, resend, entry.Operator)
	}
	return page.String()
}
