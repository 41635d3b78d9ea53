package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// Process is a process that a test has started.
type Process struct {
	command *exec.Cmd
	logFile string
	exited  chan struct{}
}

// StartProcess starts a program with its output in a log file.
func StartProcess(logFile, program string, args ...string) (*Process, error) {
	out, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &Process{command: exec.Command(program, args...), logFile: logFile, exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait() // a killed process returns an error, as intended
		close(p.exited)
	}()
	return p, nil
}

// PID returns the identifier of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Err returns an error with the end of the log if the process has exited.
func (p *Process) Err() error {
	select {
	case <-p.exited:
		return fmt.Errorf("process has exited with %v: %s", p.command.ProcessState, p.lastLines())
	default:
		return nil
	}
}

// reportedLines is the number of lines at the end of a log that an error contains.
const reportedLines = 20

func (p *Process) lastLines() string {
	content, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-reportedLines):], "\n")
}

// Kill ends the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have exited
	<-p.exited
}
