package lab

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// historicalPages are prefixes of pages that describe earlier versions. Their links are
// checked, but they may contain names that no longer exist.
var historicalPages = []string{"docs/measurements/", "docs/incidents/", "CHANGELOG.md"}

var (
	markdownLink   = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	repositoryPath = regexp.MustCompile(`^(?:api|bundles|cmd|days|deploy|docs|internal|lab|modules|platform|scenarios|tools)/[\w./-]*$`)
	qualifiedName  = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
	testName       = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)
)

// The links, paths, qualified identifiers and tests in the pages exist.
func TestPagesNameWhatExists(t *testing.T) {
	is := is.New(t)
	declared, err := declarations("..")
	is.NoErr(err)
	for _, page := range pages(t) {
		content, err := os.ReadFile(filepath.Join("..", page))
		is.NoErr(err)
		for _, missing := range brokenLinks(page, string(content)) {
			t.Errorf("%s: link to %s, which does not exist", page, missing)
		}
		if isHistorical(page) {
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(content), -1) {
			if !exists(declared, span[1]) {
				t.Errorf("%s: `%s` does not exist", page, span[1])
			}
		}
	}
}

func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob("../*.md")
	is.New(t).NoErr(err)
	err = filepath.WalkDir("../docs", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			found = append(found, path)
		}
		return err
	})
	is.New(t).NoErr(err)
	for i := range found {
		found[i] = strings.TrimPrefix(filepath.ToSlash(found[i]), "../")
	}
	return found
}

func isHistorical(page string) bool {
	for _, prefix := range historicalPages {
		if strings.HasPrefix(page, prefix) {
			return true
		}
	}
	return false
}

// brokenLinks returns the links to targets within the repository that do not exist.
func brokenLinks(page, content string) []string {
	var broken []string
	for _, link := range markdownLink.FindAllStringSubmatch(content, -1) {
		target, _, _ := strings.Cut(link[1], "#")
		if target == "" || strings.Contains(target, "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join("..", filepath.Dir(page), target)); err != nil {
			broken = append(broken, link[1])
		}
	}
	return broken
}

// exists reports whether the path, identifier or test in a code span exists. It returns
// true for code spans that are none of these.
func exists(declared map[string]map[string]bool, span string) bool {
	if repositoryPath.MatchString(span) {
		if _, err := os.Stat(filepath.Join("..", span)); err == nil {
			return true
		}
		return existsInPackage(declared, span)
	}
	if testName.MatchString(span) {
		return declaredAnywhere(declared, span)
	}
	name := qualifiedName.FindStringSubmatch(span)
	if name == nil || !(ast.IsExported(name[2]) || ast.IsExported(name[3])) {
		return true
	}
	names, inRepository := declared[name[1]]
	if !inRepository {
		return true
	}
	return names[name[2]] && (name[3] == "" || names[name[3]])
}

// existsInPackage reports whether an identifier with the path of its package exists, such
// as internal/app/kernel.Module.
func existsInPackage(declared map[string]map[string]bool, span string) bool {
	folder, qualified := filepath.Split(span)
	name := qualifiedName.FindStringSubmatch(qualified)
	if name == nil {
		return false
	}
	_, err := os.Stat(filepath.Join("..", folder, name[1]))
	return err == nil && declared[name[1]][name[2]] && (name[3] == "" || declared[name[1]][name[3]])
}

func declaredAnywhere(declared map[string]map[string]bool, name string) bool {
	for _, names := range declared {
		if names[name] {
			return true
		}
	}
	return false
}

// declarations returns the names that each package declares, by package name: functions,
// methods, types, fields, constants and variables.
func declarations(root string) (map[string]map[string]bool, error) {
	declared := map[string]map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		packageName := strings.TrimSuffix(file.Name.Name, "_test")
		if declared[packageName] == nil {
			declared[packageName] = map[string]bool{}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			for _, name := range declaredNames(node) {
				declared[packageName][name.Name] = true
			}
			return true
		})
		return nil
	})
	return declared, err
}

func declaredNames(node ast.Node) []*ast.Ident {
	switch declaration := node.(type) {
	case *ast.FuncDecl:
		return []*ast.Ident{declaration.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{declaration.Name}
	case *ast.ValueSpec:
		return declaration.Names
	case *ast.Field:
		return declaration.Names
	}
	return nil
}
