package lab

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestProductDoesNotImportTheLab(t *testing.T) {
	is := is.New(t)
	listed, err := exec.Command("go", "list", "-deps", "../cmd/cobaltramp").Output()
	is.NoErr(err)
	for _, path := range strings.Fields(string(listed)) {
		is.True(!strings.HasPrefix(path, "cobaltramp.example/cobaltramp/lab")) // path is a dependency of the product
	}
}
