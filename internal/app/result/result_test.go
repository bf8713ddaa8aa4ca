package result

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/RESULT_CODES.md")
	is.NoErr(err)
	is.Equal(string(page), Page()) // run: go run ./tools/resultcodes
}

func TestTableIsConsistent(t *testing.T) {
	is := is.New(t)
	numbers, names := map[Code]bool{}, map[string]bool{}
	for _, entry := range table {
		is.True(!numbers[entry.Code]) // number used twice
		is.True(!names[entry.Name])   // name used twice
		numbers[entry.Code], names[entry.Name] = true, true
		is.True(entry.Operator != "")
		if entry.Ran == RanNo {
			is.True(entry.ResendSafe) // work that was not run may be sent again
		}
	}
}

func TestCodeSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	wrapped := trace.Wrap(fmt.Errorf("while testing: %w", New(Saturated, "full")), "outer")
	is.Equal(CodeOf(wrapped), Saturated)
	is.Equal(CodeOf(nil), OK)
	is.Equal(CodeOf(errors.New("other")), Internal)
}
