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
	// startTimeout is how long the process of a scheduler may take to print its address.
	startTimeout = 15 * time.Second
	// terminateSlack is how long after the shutdown timeout of the scheduler its process is killed.
	terminateSlack = 5 * time.Second
)

// schedulerProcess is a scheduler over all its incarnations, each of which is an operating-system process. It is safe for
// concurrent use.
type schedulerProcess struct {
	cluster        *cluster
	index          int
	name           string
	clientProxy    *recordproxy.Proxy
	inventoryProxy *recordproxy.Proxy
	configPath     string

	mu               sync.Mutex
	stepFiles        []string // recordings of the module's steps: one file for each core of each incarnation
	listenAddress    string   // empty while no process runs
	command          *exec.Cmd
	exited           chan struct{} // closed when command has exited
	exitErr          error
	incarnationCount int
}

// StartError reports that the process of a scheduler did not start.
type StartError struct {
	Scheduler string
	Output    string // the first line of its standard output, if that has no address, and its log
	Err       error
}

// Error returns a message with the scheduler, the cause and the first 2000 characters of the output.
func (e *StartError) Error() string {
	return fmt.Sprintf("trial: start %s: %v: %.2000s", e.Scheduler, e.Err, e.Output)
}

// Unwrap returns Err.
func (e *StartError) Unwrap() error { return e.Err }

// Causes of a StartError, in addition to errors of the operating system.
var (
	errNoAddress    = errors.New("first line of its output has no http:// address")
	errExited       = errors.New("process exited before it printed its address")
	errStartTimeout = fmt.Errorf("process printed no address within %v", startTimeout)
)

// address returns the address at which the running incarnation listens for clients, or closedAddress if there is none.
func (p *schedulerProcess) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listenAddress == "" {
		return closedAddress
	}
	return p.listenAddress
}

// start starts an incarnation and waits until it listens.
func (p *schedulerProcess) start() error {
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
	p.listenAddress, p.command, p.exited = address, command, exited
	return nil
}

// writeConfig counts a new incarnation and writes its configuration.
func (p *schedulerProcess) writeConfig() error {
	p.mu.Lock()
	p.incarnationCount++
	stepFile := ""
	if p.cluster.options.Replay {
		stepFile = filepath.Join(p.cluster.directory, fmt.Sprintf("%s-%d.tap", p.name, p.incarnationCount))
		p.stepFiles = append(p.stepFiles, stepFile)
		for core := 1; core < p.cluster.day.Shards; core++ {
			p.stepFiles = append(p.stepFiles, fmt.Sprintf("%s.%d", stepFile, core))
		}
	}
	seed := scenario.SchedulerSeed(p.cluster.options.Seed, p.index, p.incarnationCount)
	p.mu.Unlock()
	text, err := p.cluster.day.SchedulerFile(p.index, p.inventoryProxy.Addr(), stepFile, seed)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		return fmt.Errorf("trial: write the configuration of %s: %w", p.name, err)
	}
	return nil
}

// launch starts the operating-system process and a goroutine that reads its standard output. firstLine receives the first line
// of the output; exited is closed when the process has exited.
func (p *schedulerProcess) launch() (command *exec.Cmd, firstLine <-chan string, exited chan struct{}, err error) {
	command = p.cluster.options.Command("serve", "--config", p.configPath)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, nil, &StartError{Scheduler: p.name, Err: err}
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, nil, &StartError{Scheduler: p.name, Err: err}
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // so that it does not outlive a trial that is killed
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

// readOutput sends the first line of the output, discards the rest, and sets exitErr when the process has exited.
func (p *schedulerProcess) readOutput(command *exec.Cmd, output io.Reader, firstLine chan<- string) {
	scanner := bufio.NewScanner(output)
	if scanner.Scan() {
		firstLine <- scanner.Text()
	}
	_, _ = io.Copy(io.Discard, output) // returns when the process exits
	err := command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
}

// awaitAddress returns the address in the first line of the output. With errNoAddress it returns the whole line instead.
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

func (p *schedulerProcess) logPath() string { return filepath.Join(p.cluster.directory, p.name+".log") }

// readLog returns the log of the process, or an empty string if it can't be read.
func (p *schedulerProcess) readLog() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return ""
	}
	return string(text)
}

// signal sends a signal to the running incarnation, if there is one.
func (p *schedulerProcess) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have exited in the meantime
	}
}

// kill kills the running incarnation, if there is one, records that and closes its connections.
func (p *schedulerProcess) kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command, p.listenAddress = nil, ""
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // it may have exited in the meantime
	<-exited
	p.cluster.recorder.RecordEvent(recordproxy.EventSchedulerKilled, p.name)
	p.clientProxy.Disconnect()
	p.inventoryProxy.Disconnect()
}

// TerminateError reports that the process of a scheduler did not exit in time and with status 0 after SIGTERM.
type TerminateError struct {
	Scheduler string
	Err       error
}

// Error returns a message with the scheduler and the cause.
func (e *TerminateError) Error() string {
	return fmt.Sprintf("trial: scheduler %s did not shut down properly after SIGTERM: %v", e.Scheduler, e.Err)
}

// Unwrap returns Err.
func (e *TerminateError) Unwrap() error { return e.Err }

var errTerminateTimeout = fmt.Errorf("process did not exit within its shutdown timeout and %v; killed", terminateSlack)

// terminate shuts the running incarnation down gracefully, if there is one. The process must exit with status 0; it is killed
// terminateSlack after its shutdown timeout.
func (p *schedulerProcess) terminate() error {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Signal(syscall.SIGCONT) // a paused process can't handle SIGTERM; an exited one is reported by its status
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
	p.listenAddress = ""
	if p.exitErr != nil {
		return &TerminateError{Scheduler: p.name, Err: p.exitErr}
	}
	return nil
}

// incarnation returns the number of the latest incarnation, from 1 on.
func (p *schedulerProcess) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnationCount
}

func (p *schedulerProcess) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}
