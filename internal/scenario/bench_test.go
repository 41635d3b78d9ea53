package scenario

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchNetwork is the second octet of the network of the benchmark's processes.
const benchNetwork = "99"

// benchCallers is the number of callers that send requests concurrently.
const benchCallers = 4

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// BenchmarkEntryRequest sends lookups on an open route through a running entry instance and
// reports the processor time and memory of that process alone.
func BenchmarkEntryRequest(b *testing.B) {
	directory := b.TempDir()
	if err := copyFixtures(directory); err != nil {
		b.Fatal(err)
	}
	expandFixtures(b, directory)
	address := "127." + benchNetwork + ".1.1:7001"
	run := func(program, settings string) *exec.Cmd {
		command := exec.Command(filepath.Join(programFolder, program), "--settings", filepath.Join(directory, settings))
		if err := command.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
		return command
	}
	run("lovage-standin", "standin.toml")
	entry := run("lovage-entry", "entry-north-1-a.toml")
	waitForOK(b, "http://127."+benchNetwork+".0.1:7101/calls")
	platform := "127." + benchNetwork + ".0.1:7100"
	apply := exec.Command(filepath.Join(programFolder, "lovagectl"), "--platform", platform, "apply", filepath.Join(directory, "estate.toml"))
	if output, err := apply.CombinedOutput(); err != nil {
		b.Fatalf("%s%v", output, err)
	}
	waitForOK(b, "http://"+address+"/files/about")
	b.ResetTimer()
	before := processorTime(b, entry.Process.Pid)
	sendRequests(b, "http://"+address+"/files/about")
	used := processorTime(b, entry.Process.Pid) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "entry-cpu-us/request")
	b.ReportMetric(residentMiB(b, entry.Process.Pid), "entry-MiB")
}

func expandFixtures(b *testing.B, directory string) {
	files, err := filepath.Glob(filepath.Join(directory, "*.toml"))
	if err != nil {
		b.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			b.Fatal(err)
		}
		expanded := strings.ReplaceAll(string(content), "$NET", benchNetwork)
		if err := os.WriteFile(file, []byte(expanded), 0o600); err != nil {
			b.Fatal(err)
		}
	}
}

func waitForOK(b *testing.B, url string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		answer, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	b.Fatalf("no answer from %s", url)
}

func sendRequests(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	var callers sync.WaitGroup
	for caller := range benchCallers {
		callers.Go(func() {
			for i := caller; i < b.N; i += benchCallers {
				answer, err := client.Get(url)
				if err != nil || answer.StatusCode != http.StatusOK {
					b.Errorf("request failed: %v", err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
	callers.Wait()
}

// processorTime returns the user and system time of a process.
func processorTime(b *testing.B, pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	const user, system = 11, 12 // positions after the closing parenthesis of the command name
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	var ticks time.Duration
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			b.Fatal(err)
		}
		ticks += time.Duration(n)
	}
	return ticks * clockTick
}

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(b *testing.B, pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(content))[1])
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages*os.Getpagesize()) / float64(1<<20)
}
