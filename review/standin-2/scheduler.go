package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// limits are the limits of a scheduler.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// scheduler is the process under review, started as the run line of the deploy file says.
type scheduler struct {
	rec    *recorder
	root   string
	dir    string
	addr   string
	limits limits
	feed   *feed
	set    map[string]any
	cmd    *exec.Cmd
	done   chan error
	start  int
	log    *os.File
}

// freeAddr returns an address on a loopback host that only this process uses.
func freeAddr() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 32+pid>>8&127, pid&255))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// baseSettings are the settings of a small deployment with a class of each kind.
func baseSettings() map[string]any {
	class := func(name, effect, scope string, objective, deadline time.Duration, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "key_scope": scope, "key_ttl_ns": 5 * time.Second,
			"objective_ns": objective, "deadline_ns": deadline, "late_worth": 0.1, "worth": worth, "stays": true}
	}
	return map[string]any{
		"balancers": 1, "index": 0, "zone": "sala-a", "zones": []string{"sala-a", "sala-b", "sala-c"}, "discovery": "pushed",
		"round_ns": 2 * time.Millisecond, "kinds": []string{"std"}, "customers": []any{},
		"caps": map[string]any{"cancel": true, "conn_idle_ns": 30 * time.Second, "connect_timeout_ns": 250 * time.Millisecond,
			"most_tries": 3, "probes": false, "peers": false},
		"categories": []any{
			class("safe", "read_like", "all", 600*time.Millisecond, 6*time.Second, 3),
			class("keyed", "idempotency_key", "zone", 5*time.Second, 9*time.Second, 9),
			class("unsafe", "non_idempotent", "all", 5*time.Second, 6*time.Second, 5),
			class("spread", "read_like", "all", 600*time.Millisecond, 6*time.Second, 3),
		},
		"obligations": map[string]any{"answer_slack_ns": 8 * time.Millisecond, "ask_within_ns": 10 * time.Second,
			"cold_from": 0.25, "cold_ns": 15 * time.Second, "fall_multiple": 4.0, "fall_ns": 3 * time.Second,
			"stop_sending_within_ns": 2 * time.Second},
		"prices": map[string]any{"cross_zone": 0.03, "moves": 0.08, "waste": 0.08},
		"specifics": map[string]any{"admit_cores": 2.5, "class_calm": []float64{1, 0.8, 1, 1}, "confirms": "accepted",
			"fade_span": []float64{1, 0.2, 1, 1}, "fresh_offers": 86.0, "kind_by_class": []int{-1, -1, -1, -1},
			"kind_cores": []int{30}, "mem_of_kind": []float64{86}, "memory_multiple": 1.5, "make_sure_ns": 3 * time.Second,
			"priority_by_class": []int{0, 1, 0, 0}, "pushes_out": true, "quota_cores": []float64{}, "refusal_fee": 0.02,
			"shows_free": false, "spread_over": []string{"off", "off", "off", "machine"}, "tells_use": true,
			"start_seconds": []float64{12, 8, 8, 8}, "together_max": []int{0, 0, 0, 1}},
	}
}

func newScheduler(rec *recorder, dir, root string, l limits, f *feed, set map[string]any) (*scheduler, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "scheduler.log"))
	if err != nil {
		return nil, err
	}
	return &scheduler{rec: rec, root: root, dir: dir, addr: addr, limits: l, feed: f, set: set, log: log}, nil
}

func (s *scheduler) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig writes the configuration, with the events of the feed up to now.
func (s *scheduler) writeConfig() error {
	s.feed.mu.Lock()
	events := s.feed.events
	s.feed.mu.Unlock()
	seed := fmt.Sprintf("%x", 0x8c1f30d27a5be964+uint64(s.start))
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": s.addr, "seed": seed,
		"limits": s.limits, "feed": s.feed.addr, "known": map[string]any{"n": len(events), "events": events}, "settings": s.set})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath()+".new", s.configPath())
}

// run starts the process.
func (s *scheduler) run() error {
	s.start++
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.cmd = exec.Command("/bin/sh", "-c", "exec bin/flaxshelf platform")
	s.cmd.Dir = s.root
	s.cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+s.addr, "GW_CONFIG="+s.configPath(), "TMPDIR="+s.dir)
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.rec.add("scheduler started")
	s.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) {
		err := cmd.Wait()
		s.rec.add("scheduler ended: %v", cmd.ProcessState)
		done <- err
		close(done)
	}(s.cmd, s.done)
	return nil
}

func (s *scheduler) signal(sig syscall.Signal) {
	s.rec.add("scheduler gets %v", sig)
	_ = s.cmd.Process.Signal(sig)
}

// ended reports whether the process has ended.
func (s *scheduler) ended() bool {
	return s.cmd.Process.Signal(syscall.Signal(0)) != nil
}

// memoryMB returns the memory of the process that no file backs, in MB; 0 if it has ended.
func (s *scheduler) memoryMB() float64 { return s.statusMB("RssAnon:") }

func (s *scheduler) statusMB(field string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

func (s *scheduler) kill() {
	if s.cmd != nil {
		_ = s.cmd.Process.Kill()
		<-s.done
	}
	_ = s.log.Close()
}
