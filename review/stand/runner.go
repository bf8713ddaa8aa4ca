package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A runner process answers requests with event streams. If framed is not set, its answers have no
// length and end with their connection, as the rules of the users' pages allow; otherwise they
// come in chunks.

const (
	minEvents   = 5
	moreEvents  = 20
	runInterval = 40 * time.Millisecond
)

// longPrefix begins the ids of long requests, which have longEvents events.
const (
	longPrefix = "long"
	longEvents = 200
)

// eventCount is the number of events of a request, which is the same at every runner.
func eventCount(id string) int {
	if strings.HasPrefix(id, longPrefix) {
		return longEvents
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return minEvents + int(hash.Sum32()%moreEvents)
}

// eventData is the data of an event, which is the same at every runner.
func eventData(id string, number int) string { return fmt.Sprintf("%s says %d", id, number) }

// wholeText is the whole output of a request.
func wholeText(id string) string {
	var texts []string
	for number := 1; number <= eventCount(id); number++ {
		texts = append(texts, eventData(id, number))
	}
	return strings.Join(texts, "\n")
}

// serveRunner serves as the runner with an id until the process is killed. It writes its address
// and a line for each run to standard output.
func serveRunner(id, slots string, framed bool) error {
	count, err := strconv.Atoi(slots)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	report := func(format string, args ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	report("%s", listener.Addr())
	places := make(chan struct{}, count)
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = connection.Close() }()
			serveRun(connection, id, framed, places, report)
		}()
	}
}

// serveRun serves one request on a connection, which then ends.
func serveRun(connection net.Conn, id string, framed bool, places chan struct{}, report func(string, ...any)) {
	reader := bufio.NewReader(connection)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	attempt := request.Header.Get(name("attempt"))
	refuse := func(status int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Not executed\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, name("attempt"), attempt, name("notRun"))
	}
	if expected := request.Header.Get(name("expected")); expected != "" && expected != id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 without one
	report("run of %s from event %d", attempt, from)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: seal-%s\r\n%s: 1\r\nConnection: close\r\n",
		name("attempt"), attempt, name("seal"), attempt, name("weights"))
	if framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	head += "\r\n"
	if _, err := io.WriteString(connection, head); err != nil {
		return
	}
	for number := from + 1; number <= eventCount(attempt); number++ {
		time.Sleep(runInterval)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(attempt, number))
		if framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(connection, event); err != nil {
			report("run of %s left at event %d", attempt, number)
			return
		}
	}
	if framed {
		_, _ = io.WriteString(connection, "0\r\n\r\n") // the client may have left
	}
	report("run of %s done", attempt)
}

// runnerProcess is a runner in a process of its own.
type runnerProcess struct {
	id, address, zone string
	command           *exec.Cmd
	ended             chan struct{}
	// onLine gets each line that the runner writes; nil ignores them.
	onLine func(line string)
}

// startRunner starts a runner process. What it writes is recorded. The platform lists it.
func (d *deployment) startRunner(id, zone string, slots int, framed bool, onLine func(line string)) (*runnerProcess, error) {
	command := exec.Command(os.Args[0], "runner", id, strconv.Itoa(slots), strconv.FormatBool(framed))
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	r := &runnerProcess{id: id, zone: zone, command: command, ended: make(chan struct{}), onLine: onLine}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("runner %s does not start", id)
	}
	r.address = lines.Text()
	go func() {
		defer close(r.ended)
		for lines.Scan() {
			d.record.line("%s: %s", id, lines.Text())
			if r.onLine != nil {
				r.onLine(lines.Text())
			}
		}
		_ = command.Wait()
	}()
	d.record.line("%s started at %s", id, r.address)
	d.store.Put("servers/"+id, with(pages.Runner, map[string]any{"addr": r.address, "zone": zone, "slots": slots}))
	return r, nil
}

// kill ends the process of a runner with SIGKILL. The platform still lists it.
func (r *runnerProcess) kill() {
	_ = r.command.Process.Kill()
	<-r.ended
}
