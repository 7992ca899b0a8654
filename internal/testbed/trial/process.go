package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

const (
	// startTimeout is how long a scheduler's process may take to print its address.
	startTimeout = 15 * time.Second
	// terminateSlack is how long after its shutdown timeout a process is killed.
	terminateSlack = 5 * time.Second
)

// process is a scheduler, with an operating-system process for each incarnation. It is safe for concurrent use.
type process struct {
	cluster        *cluster
	index          int
	name           string
	clientProxy    *recordproxy.Proxy
	inventoryProxy *recordproxy.Proxy
	configPath     string

	mu           sync.Mutex
	stepFiles    []string // recorded steps of all incarnations, a file for each core
	listening    string   // address; empty while no process runs
	command      *exec.Cmd
	exited       chan struct{} // closed when command has exited
	exitErr      error
	incarnations int
}

// StartError reports a scheduler's process that did not start.
type StartError struct {
	Scheduler string
	Output    string // its first line of output, or its log
	Err       error
}

// Error returns a message with the scheduler, the cause and the output.
func (e *StartError) Error() string {
	return fmt.Sprintf("trial: start %s: %v: %.2000s", e.Scheduler, e.Err, e.Output)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// The causes of a StartError, in addition to errors of the operating system.
var (
	errNoAddress    = errors.New("no address in its output")
	errExited       = errors.New("it exited")
	errStartTimeout = fmt.Errorf("no output within %v", startTimeout)
)

// address returns the address at which the present incarnation listens for clients.
func (p *process) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listening == "" {
		return closedAddress
	}
	return p.listening
}

// start starts an incarnation and waits until it listens.
func (p *process) start() error {
	if err := p.writeConfig(); err != nil {
		return err
	}
	command, firstLine, exited, err := p.launch()
	if err != nil {
		return err
	}
	address, err := awaitAddress(firstLine, exited)
	if err != nil {
		_ = command.Process.Kill() // it may have exited already
		<-exited
		return &StartError{Scheduler: p.name, Output: address + p.readLog(), Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listening, p.command, p.exited = address, command, exited
	return nil
}

// writeConfig writes the configuration of a new incarnation.
func (p *process) writeConfig() error {
	p.mu.Lock()
	p.incarnations++
	stepFile := ""
	if p.cluster.opt.Replay {
		stepFile = filepath.Join(p.cluster.directory, fmt.Sprintf("%s-%d.tap", p.name, p.incarnations))
		p.stepFiles = append(p.stepFiles, stepFile)
		for core := 1; core < p.cluster.day.Shards; core++ {
			p.stepFiles = append(p.stepFiles, fmt.Sprintf("%s.%d", stepFile, core))
		}
	}
	seed := scenario.SchedulerSeed(p.cluster.opt.Seed, p.index, p.incarnations)
	p.mu.Unlock()
	text, err := p.cluster.day.SchedulerFile(p.index, p.inventoryProxy.Addr(), stepFile, seed)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		return fmt.Errorf("trial: configuration of %s: %w", p.name, err)
	}
	return nil
}

// launch starts the operating-system process and a goroutine that reads its output. firstLine receives the first line; exited
// is closed when the process has exited.
func (p *process) launch() (command *exec.Cmd, firstLine <-chan string, exited chan struct{}, err error) {
	command = p.cluster.opt.Command("serve", "--config", p.configPath)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, nil, &StartError{Scheduler: p.name, Err: err}
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, nil, &StartError{Scheduler: p.name, Err: err}
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive a killed trial
	if err := command.Start(); err != nil {
		return nil, nil, nil, &StartError{Scheduler: p.name, Err: err}
	}
	lines := make(chan string, 1)
	exited = make(chan struct{})
	go func() {
		defer close(exited)
		p.readOutput(command, output, lines)
	}()
	return command, lines, exited, nil
}

func (p *process) readOutput(command *exec.Cmd, output io.Reader, firstLine chan<- string) {
	scanner := bufio.NewScanner(output)
	if scanner.Scan() {
		firstLine <- scanner.Text()
	}
	_, _ = io.Copy(io.Discard, output) // until the process exits
	err := command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
}

// awaitAddress returns the address in the first line of output; with errNoAddress, the line.
func awaitAddress(firstLine <-chan string, exited <-chan struct{}) (string, error) {
	select {
	case line := <-firstLine:
		_, address, ok := strings.Cut(line, "http://")
		if !ok {
			return line, errNoAddress
		}
		return address, nil
	case <-exited:
		return "", errExited
	case <-time.After(startTimeout):
		return "", errStartTimeout
	}
}

func (p *process) logPath() string { return filepath.Join(p.cluster.directory, p.name+".log") }

// readLog returns the log of the process, or an empty string if it can't be read.
func (p *process) readLog() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return ""
	}
	return string(text)
}

// signal sends a signal to the present incarnation, if there is one.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have exited in the meantime
	}
}

// kill kills the process and closes its connections.
func (p *process) kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command, p.listening = nil, ""
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // it may have exited in the meantime
	<-exited
	p.cluster.recorder.Mark(recordproxy.EventSchedulerKilled, p.name)
	p.clientProxy.Disconnect()
	p.inventoryProxy.Disconnect()
}

// TerminateError reports a scheduler's process that did not exit cleanly after SIGTERM.
type TerminateError struct {
	Scheduler string
	Err       error
}

// Error returns a message with the scheduler and the cause.
func (e *TerminateError) Error() string {
	return fmt.Sprintf("trial: %s after SIGTERM: %v", e.Scheduler, e.Err)
}

// Unwrap returns the cause.
func (e *TerminateError) Unwrap() error { return e.Err }

var errTerminateTimeout = errors.New("it did not exit in time")

// terminate shuts the process down gracefully. The process must exit with status 0 within its shutdown timeout.
func (p *process) terminate() error {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Signal(syscall.SIGCONT) // it may have exited: its status shows that
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(p.cluster.day.Limits.ShutdownTimeout.Duration() + terminateSlack):
		_ = command.Process.Kill()
		<-exited
		return &TerminateError{Scheduler: p.name, Err: errTerminateTimeout}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listening = ""
	if p.exitErr != nil {
		return &TerminateError{Scheduler: p.name, Err: p.exitErr}
	}
	return nil
}

// incarnation returns the number of the latest incarnation.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}
