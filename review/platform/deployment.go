package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the project, started with the command of deploy/system.toml.
type instance struct {
	name, zone, region, host                      string
	front, ready, control, directory, storeAddres string
	settings                                      string
	command                                       *exec.Cmd
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	cannotRun(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// running are the processes that this program has started.
var running struct {
	mu  sync.Mutex
	all []*instance
}

// stopAll ends all processes that this program has started.
func stopAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for _, i := range running.all {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		_ = i.command.Wait()
	}
	running.all = nil
}

// cannotRun ends the program with exit code 2 if err is set.
func cannotRun(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	stopAll()
	os.Exit(2)
}

// hostOf returns a loopback address for the n-th instance of this process.
func hostOf(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>8%32, pid%256, n+1)
}

func freePorts(host string, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		cannotRun(err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// newInstances returns instances that are not started yet. zones maps zones to regions, and
// placed names the zone of each instance.
func newInstances(folder string, zones map[string]string, placed []string, storeOf func(n int) string, bounds string) []*instance {
	var all []*instance
	var seeds []string
	for n, zone := range placed {
		ports := freePorts(hostOf(n), 4)
		i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, region: zones[zone], host: hostOf(n),
			front: ports[0], ready: ports[1], control: ports[2], directory: ports[3], storeAddres: storeOf(n)}
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", i.control))
		}
		all = append(all, i)
	}
	var zoneLines strings.Builder
	for zone, region := range zones {
		fmt.Fprintf(&zoneLines, "%s = %q\n", zone, region)
	}
	var boundTexts []string
	for _, b := range strings.Split(bounds, ",") {
		boundTexts = append(boundTexts, fmt.Sprintf("%q", b))
	}
	for _, i := range all {
		text := fmt.Sprintf(`node = %q
role = "edge"
class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = %q
seeds = [%s]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "directory"
beat-interval-s = 1.5
contracts = ["base","drain","config","cost","retry","recover","places","tenants","quota","platform"]
bounds = [%s]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu-share = 0.32
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 1
regions = 1
[platform]
addr = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-s = 1
`, i.name, i.host, i.zone, i.region, strings.Join(seeds, ","), strings.Join(boundTexts, ","), zoneLines.String(),
			i.front, i.ready, i.control, i.directory, i.storeAddres)
		i.settings = filepath.Join(folder, i.name+".toml")
		cannotRun(os.WriteFile(i.settings, []byte(text), 0o600))
	}
	return all
}

// startAll starts the instances and waits until each says that it is ready.
func startAll(root, folder string, all []*instance, rec *record) {
	for _, i := range all {
		i.start(root, folder, rec)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, i := range all {
		for !i.isReady() {
			if time.Now().After(deadline) {
				cannotRun(fmt.Errorf("%s is not ready", i.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// start starts the program in the repository root, with the settings file in the variable
// that DEPLOY.md names.
func (i *instance) start(root, folder string, rec *record) {
	log, err := os.OpenFile(filepath.Join(folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cannotRun(err)
	defer log.Close()
	program := os.Getenv("EDGE")
	if program == "" {
		program = "target/lovage-edge"
	}
	i.command = exec.Command(program)
	i.command.Dir = root
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LOVAGESCALE_CONFIG=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	cannotRun(i.command.Start())
	running.mu.Lock()
	running.all = append(running.all, i)
	running.mu.Unlock()
	rec.add("%s is started", i.name)
}

func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

var probeClient = &http.Client{Timeout: 500 * time.Millisecond}

func (i *instance) isReady() bool {
	response, err := probeClient.Get("http://" + i.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
