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
	// startTimeout is how long a scheduler's process may take until it prints its address.
	startTimeout = 15 * time.Second
	// terminateSlack is how much longer than its shutdown timeout a process may take to end.
	terminateSlack = 5 * time.Second
)

// process is a scheduler, with an operating-system process for each incarnation. Its methods may be called by several
// goroutines.
type process struct {
	cluster        *cluster
	index          int
	name           string
	clientProxy    *recordproxy.Proxy
	inventoryProxy *recordproxy.Proxy
	configPath     string

	mu           sync.Mutex
	stepFiles    []string // recorded steps of all incarnations, a file for each core
	listening    string   // address; empty while none runs
	command      *exec.Cmd
	exited       chan struct{} // closed when command has ended
	exitErr      error
	incarnations int
}

// StartError is a scheduler's process that did not start.
type StartError struct {
	Scheduler string
	Output    string // its first line, or its log
	Err       error
}

// Error names the scheduler, the cause and what the process printed.
func (e *StartError) Error() string {
	return fmt.Sprintf("trial: start %s: %v: %.2000s", e.Scheduler, e.Err, e.Output)
}

// Unwrap is the cause.
func (e *StartError) Unwrap() error { return e.Err }

// The causes of a StartError beside those of the operating system.
var (
	errNoAddress    = errors.New("it printed no address")
	errEarlyExit    = errors.New("it ended")
	errStartTimeout = fmt.Errorf("it printed nothing within %v", startTimeout)
)

// address is where the present incarnation listens for clients.
func (p *process) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listening == "" {
		return closedAddress
	}
	return p.listening
}

// start begins an incarnation and waits until it listens.
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
		_ = command.Process.Kill() // it may have ended by itself
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
		for core := 1; core < p.cluster.day.Cores; core++ {
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

// launch starts the operating-system process and a goroutine that reads its output until it has ended; exited is closed
// then. The first line comes on a channel.
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
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a trial that is killed
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
	_, _ = io.Copy(io.Discard, output) // it ends with the process
	err := command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
}

// awaitAddress returns the address of a process's first line; with errNoAddress, the line.
func awaitAddress(firstLine <-chan string, exited <-chan struct{}) (string, error) {
	select {
	case line := <-firstLine:
		_, address, ok := strings.Cut(line, "http://")
		if !ok {
			return line, errNoAddress
		}
		return address, nil
	case <-exited:
		return "", errEarlyExit
	case <-time.After(startTimeout):
		return "", errStartTimeout
	}
}

func (p *process) logPath() string { return filepath.Join(p.cluster.directory, p.name+".log") }

// readLog is the log for an error; a log that can't be read is empty.
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
		_ = p.command.Process.Signal(signal) // it may just have ended
	}
}

// kill ends the process by force and breaks its connections.
func (p *process) kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command, p.listening = nil, ""
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // it may just have ended
	<-exited
	p.cluster.recorder.Mark(recordproxy.EventSchedulerKilled, p.name)
	p.clientProxy.Disconnect()
	p.inventoryProxy.Disconnect()
}

// TerminateError is a scheduler's process that did not end well on SIGTERM.
type TerminateError struct {
	Scheduler string
	Err       error
}

// Error names the scheduler and the cause.
func (e *TerminateError) Error() string {
	return fmt.Sprintf("trial: %s on SIGTERM: %v", e.Scheduler, e.Err)
}

// Unwrap is the cause.
func (e *TerminateError) Unwrap() error { return e.Err }

var errTerminateTimeout = errors.New("it did not end")

// terminate shuts the process down gracefully. It must end with status 0 within the time that the day gives it.
func (p *process) terminate() error {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Signal(syscall.SIGCONT) // it may have ended: its status shows that
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

// incarnation is the number of the latest incarnation.
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
