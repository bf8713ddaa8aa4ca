package platformday

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// logPollInterval is the time between two looks at the logs of the storage nodes.
const logPollInterval = time.Millisecond

// logWatch waits for lines that storage nodes write after its creation.
type logWatch struct {
	folder  string
	offsets map[string]int64
}

// watchLogs returns a logWatch for the logs of the storage nodes in a folder.
func watchLogs(folder string) *logWatch {
	w := &logWatch{folder: folder, offsets: map[string]int64{}}
	w.read()
	return w
}

// await waits until a line contains one of the wanted texts, and returns that text. It returns an
// empty string if the context ends before.
func (w *logWatch) await(ctx context.Context, wanted []string) string {
	for ctx.Err() == nil {
		written := w.read()
		if index := slices.IndexFunc(wanted, func(text string) bool { return strings.Contains(written, text) }); index >= 0 {
			return wanted[index]
		}
		time.Sleep(logPollInterval)
	}
	return ""
}

// read returns what was written to the logs since the last call.
func (w *logWatch) read() string {
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(w.folder, "storage-*.log")) // the pattern is valid
	for _, path := range paths {
		w.offsets[path] += copyFrom(&text, path, w.offsets[path])
	}
	return text.String()
}

// copyFrom copies a file from an offset on, and returns the number of bytes. What can't be read is
// left out.
func copyFrom(target io.Writer, path string, offset int64) int64 {
	if info, err := os.Stat(path); err != nil || info.Size() <= offset {
		return 0
	}
	file, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	count, _ := io.Copy(target, io.NewSectionReader(file, offset, 1<<30))
	return count
}
