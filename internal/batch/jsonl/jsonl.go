// Package jsonl reads batch input files in the OpenAI batch format (one JSON request
// per line) as a stream and splits them into segments. It defines and enforces the limits
// of the format. A Reader keeps one segment in memory, and an eight-byte hash of each
// custom id to check that the ids are unique. Plain nodes use the package for uploads.
package jsonl

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Limits of the format.
const (
	// MaxLineBytes is the maximum length of one line in bytes, including its line end.
	MaxLineBytes = 1 << 20
	// MaxItems is the maximum number of items in one file.
	MaxItems = 500_000
	// A segment ends when it has SegmentItems items or at least SegmentBytes bytes,
	// whichever comes first. The last segment of a file may be smaller.
	SegmentItems      = 1000
	SegmentBytes      = 256 << 10
	maxCustomIDLength = 512
)

// Rules holds the checks and defaults that depend on the caller and the configuration.
type Rules struct {
	// Model returns the name of the model that serves the requested model, or an error
	// that tells the caller why it may not use the requested model.
	Model func(name string) (string, error)
	// DefaultClass is the work class of lines that do not specify one.
	DefaultClass wirev1.WorkClass
}

// LineError reports the first invalid line of a file.
type LineError struct {
	Line    int // number of the line, from 1
	Problem string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Problem) }

// Segment holds the items of consecutive lines.
type Segment struct {
	Items []*wirev1.Item
	Bytes uint64 // length of the lines without surrounding white space
}

// Reader splits a file into segments.
type Reader struct {
	source         *bufio.Reader
	rules          Rules
	line           int
	items          uint64
	bytes          uint64
	customIDHashes map[uint64]struct{}
	// endpoint is the url that all items read so far have, empty if their urls differ.
	endpoint string
}

// NewReader returns a Reader of the file that source provides.
func NewReader(source io.Reader, rules Rules) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 64<<10), rules: rules, customIDHashes: map[uint64]struct{}{}}
}

// Items returns the number of items read so far.
func (r *Reader) Items() uint64 { return r.items }

// Bytes returns the number of bytes of the lines read so far, including their line ends and
// empty lines.
func (r *Reader) Bytes() uint64 { return r.bytes }

// Endpoint returns the url that all items read so far have, empty if their urls differ.
func (r *Reader) Endpoint() string { return r.endpoint }

// Next returns the next segment, or io.EOF at the end of the file. It skips empty lines. It
// returns a *LineError if a line is invalid; all other errors come from the source.
func (r *Reader) Next() (*Segment, error) {
	segment := &Segment{}
	for len(segment.Items) < SegmentItems && segment.Bytes < SegmentBytes {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			continue
		}
		item, err := r.parse(line)
		if err != nil {
			return nil, err
		}
		segment.Items = append(segment.Items, item)
		segment.Bytes += uint64(len(line))
	}
	if len(segment.Items) == 0 {
		return nil, io.EOF
	}
	return segment, nil
}

// readLine returns the next line without surrounding white space, or io.EOF after the
// last line.
func (r *Reader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxLineBytes {
			return nil, &LineError{r.line + 1, fmt.Sprintf("longer than %d bytes", MaxLineBytes)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && !(errors.Is(err, io.EOF) && len(line) > 0) {
			return nil, err
		}
		r.line++
		r.bytes += uint64(len(line))
		return bytes.TrimSpace(line), nil
	}
}

// parse checks a line and returns its item.
func (r *Reader) parse(line []byte) (*wirev1.Item, error) {
	if !gjson.ValidBytes(line) {
		return nil, r.lineError("not JSON")
	}
	parsed := gjson.ParseBytes(line)
	item := &wirev1.Item{CustomId: parsed.Get("custom_id").String(), Url: parsed.Get("url").String()}
	if item.CustomId == "" || len(item.CustomId) > maxCustomIDLength {
		return nil, r.lineError(fmt.Sprintf("custom_id must have 1 to %d characters", maxCustomIDLength))
	}
	if method := parsed.Get("method").String(); method != "POST" {
		return nil, r.lineError(fmt.Sprintf("method is %q, allowed: POST", method))
	}
	if item.Url != "/v1/chat/completions" && item.Url != "/v1/completions" {
		return nil, r.lineError(fmt.Sprintf("url is %q, allowed: /v1/chat/completions or /v1/completions", item.Url))
	}
	if err := r.parseBody(parsed, item); err != nil {
		return nil, err
	}
	if err := r.parseClass(parsed, item); err != nil {
		return nil, err
	}
	return item, r.addItem(item)
}

func (r *Reader) parseBody(parsed gjson.Result, item *wirev1.Item) error {
	body := parsed.Get("body")
	if !body.IsObject() {
		return r.lineError("body must be an object")
	}
	if body.Get("stream").Bool() {
		return r.lineError("body.stream must not be true")
	}
	model, err := r.rules.Model(body.Get("model").String())
	if err != nil {
		return r.lineError(err.Error())
	}
	item.Model = model
	item.Body = []byte(body.Raw)
	return nil
}

func (r *Reader) parseClass(parsed gjson.Result, item *wirev1.Item) error {
	item.WorkClass = r.rules.DefaultClass
	switch class := parsed.Get("work_class").String(); class {
	case "":
	case "repeatable":
		item.WorkClass = wirev1.WorkClass_WORK_CLASS_REPEATABLE
	case "once":
		item.WorkClass = wirev1.WorkClass_WORK_CLASS_ONCE
	default:
		return r.lineError(fmt.Sprintf("work_class is %q, allowed: repeatable or once", class))
	}
	return nil
}

// addItem counts an item, updates the endpoint, and checks that the custom id is unique and
// that the file has at most MaxItems items. It compares 64-bit hashes of the ids. The
// probability that a file with MaxItems different ids is rejected because of a hash
// collision is below 10^-8.
func (r *Reader) addItem(item *wirev1.Item) error {
	hash := xxhash.Sum64String(item.CustomId)
	if _, duplicate := r.customIDHashes[hash]; duplicate {
		return r.lineError(fmt.Sprintf("custom_id %q stands twice", item.CustomId))
	}
	r.customIDHashes[hash] = struct{}{}
	if r.items == 0 {
		r.endpoint = item.Url
	}
	if r.endpoint != item.Url {
		r.endpoint = ""
	}
	r.items++
	if r.items > MaxItems {
		return r.lineError(fmt.Sprintf("more than %d items", MaxItems))
	}
	return nil
}

func (r *Reader) lineError(problem string) error { return &LineError{r.line, problem} }
