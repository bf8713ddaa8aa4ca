// Package logstoretest unpacks data folders written by earlier versions, for tests
// that check that stored data stays readable.
package logstoretest

import (
	"archive/zip"
	"os"
	"testing"
)

// Unpack extracts a zipped data folder to a temporary folder, which is deleted after the
// test, and returns the folder's path.
func Unpack(t *testing.T, archive string) string {
	t.Helper()
	file, err := os.Open(archive)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		t.Fatal(err)
	}
	reader, err := zip.NewReader(file, info.Size())
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.CopyFS(folder, reader); err != nil {
		t.Fatal(err)
	}
	return folder
}
