package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout bounds every wait for an event.
const waitTimeout = 60 * time.Second

// pollInterval is the time between two checks for an event.
const pollInterval = 20 * time.Millisecond

// requestTimeout bounds one HTTP request.
const requestTimeout = 20 * time.Second

// processesKey is the key of a script's processes in the values of testscript.
const processesKey = "processes"

// processes holds the running daemons of a script by name.
type processes struct {
	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	command *exec.Cmd
	log     *os.File
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, running := range p.running {
		_ = running.command.Process.Kill()
		_ = running.command.Wait()
		_ = running.log.Close()
	}
}

// find returns a running daemon by name and, with remove, stops tracking it.
func (p *processes) find(ts *testscript.TestScript, name string, remove bool) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	running, found := p.running[name]
	if !found {
		ts.Fatalf("process %q is not running", name)
	}
	if remove {
		delete(p.running, name)
	}
	return running
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey).(*processes)
}

// expand implements "expand FILE...". It replaces $NAME in files, which may be given as
// patterns, by the values of environment variables.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, pattern := range args {
		files, err := filepath.Glob(ts.MkAbs(pattern))
		ts.Check(err)
		for _, file := range files {
			expanded := os.Expand(ts.ReadFile(file), ts.Getenv)
			ts.Check(os.WriteFile(file, []byte(expanded), 0o600))
		}
	}
}

// start implements "start NAME PROGRAM SETTINGS". It starts a daemon and appends its log to
// NAME.log.
func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: start NAME PROGRAM SETTINGS")
	}
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	command := exec.Command(filepath.Join(programFolder, args[1]), "--settings", ts.MkAbs(args[2]))
	command.Stderr = log
	ts.Check(command.Start())
	p := processesOf(ts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[args[0]] = &process{command: command, log: log}
}

var signals = map[string]syscall.Signal{
	"term": syscall.SIGTERM, "freeze": syscall.SIGSTOP, "resume": syscall.SIGCONT,
}

// signalProcess implements "signal NAME term|freeze|resume". After freeze it returns only
// when the process is stopped.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	running := processesOf(ts).find(ts, args[0], false).command.Process
	ts.Check(running.Signal(signals[args[1]]))
	if args[1] != "freeze" {
		return
	}
	const stopped = ") T " // end of the command name and the state of a stopped process
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", running.Pid))
		ts.Check(err)
		if strings.Contains(string(stat), stopped) {
			return
		}
	}
	ts.Fatalf("process %q did not stop after SIGSTOP", args[0])
}

// shutdown implements "shutdown NAME". It terminates a daemon gracefully and requires exit
// code 0.
func shutdown(ts *testscript.TestScript, _ bool, args []string) {
	running := processesOf(ts).find(ts, args[0], true)
	ts.Check(running.command.Process.Signal(syscall.SIGTERM))
	ts.Check(running.command.Wait())
	ts.Check(running.log.Close())
}

// crash implements "crash NAME". It kills a daemon.
func crash(ts *testscript.TestScript, _ bool, args []string) {
	running := processesOf(ts).find(ts, args[0], true)
	ts.Check(running.command.Process.Kill())
	_ = running.command.Wait() // returns an error because the process was killed
	ts.Check(running.log.Close())
}

// ctl implements "[!] ctl ARGUMENT...". It runs lovagectl, whose output can be checked with
// stdout and stderr. Use run to check an exit code.
func ctl(ts *testscript.TestScript, neg bool, args []string) {
	err := ts.Exec(filepath.Join(programFolder, "lovagectl"), append([]string{"--platform", ts.Getenv("PLATFORM")}, args...)...)
	if (err != nil) != neg {
		ts.Fatalf("lovagectl %s: %v", strings.Join(args, " "), err)
	}
}

// run implements "[!] run [-code N] PROGRAM ARGUMENT...". It runs a program until it exits.
// A program that fails must exit with code N.
func run(ts *testscript.TestScript, neg bool, args []string) {
	code := 0
	if len(args) > 1 && args[0] == "-code" {
		var err error
		code, err = strconv.Atoi(args[1])
		ts.Check(err)
		args = args[2:]
	}
	err := ts.Exec(filepath.Join(programFolder, args[0]), args[1:]...)
	if (err != nil) != neg {
		ts.Fatalf("%s: %v", strings.Join(args, " "), err)
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() != code {
		ts.Fatalf("%s: exit code %d, want %d", strings.Join(args, " "), exit.ExitCode(), code)
	}
}

// sendRequest sends a request that is given as METHOD URL [HEADER: VALUE]... [@BODY]. It
// returns the answer as text: the status line, the sorted headers, an empty line and the
// body.
func sendRequest(ts *testscript.TestScript, args []string) (string, error) {
	if len(args) < 2 {
		ts.Fatalf("usage: call METHOD URL [HEADER: VALUE]... [@BODY]")
	}
	var body string
	header := make(http.Header)
	for _, arg := range args[2:] {
		if text, isBody := strings.CutPrefix(arg, "@"); isBody {
			body = text
			continue
		}
		name, value, _ := strings.Cut(arg, ": ")
		header.Set(name, value)
	}
	r, err := http.NewRequest(args[0], "http://"+args[1], strings.NewReader(body))
	ts.Check(err)
	r.Header = header
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var out bytes.Buffer
	out.WriteString(answer.Status + "\n")
	names := make([]string, 0, len(answer.Header))
	for name := range answer.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		out.WriteString(name + ": " + strings.Join(answer.Header[name], ", ") + "\n")
	}
	out.WriteString("\n")
	_, err = io.Copy(&out, answer.Body)
	return out.String(), err
}

// callOnce implements "[!] call METHOD URL [HEADER: VALUE]... [@BODY]". It sends a request
// and prints the answer.
func callOnce(ts *testscript.TestScript, neg bool, args []string) {
	text, err := sendRequest(ts, args)
	if (err != nil) != neg {
		ts.Fatalf("call %s: %v", strings.Join(args, " "), err)
	}
	_, err = io.WriteString(ts.Stdout(), text)
	ts.Check(err)
}

// await implements "await REGEXP METHOD URL [HEADER: VALUE]... [@BODY]". It repeats a request
// until the answer matches, and prints that answer.
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	deadline := time.Now().Add(waitTimeout)
	var text string
	for {
		text, err = sendRequest(ts, args[1:])
		if err == nil && pattern.MatchString(text) {
			_, err = io.WriteString(ts.Stdout(), text)
			ts.Check(err)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("await %q: last answer: %v\n%s", args[0], err, text)
		}
		time.Sleep(pollInterval)
	}
}

// putJSON implements "put URL JSON". It sends a PUT request, for example to set a fault, and
// requires a 2xx status.
func putJSON(ts *testscript.TestScript, _ bool, args []string) {
	text, err := sendRequest(ts, []string{http.MethodPut, args[0], "@" + args[1]})
	ts.Check(err)
	if !strings.HasPrefix(text, "2") {
		ts.Fatalf("put %s: %s", args[0], text)
	}
}

// readEnv implements "readenv NAME FILE". It sets an environment variable to a file's content
// without leading and trailing white space.
func readEnv(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

// capture implements "capture NAME REGEXP [FILE]". It sets an environment variable to the
// first group of the expression's first match in a file, by default the last output.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	file := "stdout"
	if len(args) == 3 {
		file = args[2]
	}
	found := regexp.MustCompile("(?m)" + args[1]).FindStringSubmatch(ts.ReadFile(file))
	if len(found) < 2 {
		ts.Fatalf("capture: no match for %q", args[1])
	}
	ts.Setenv(args[0], found[1])
}
