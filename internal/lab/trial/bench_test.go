package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/lab/standin/host"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
)

// rig is a scheduler in a process of its own, whose CPU and memory are its own, with stand-in nodes here.
type rig struct {
	b       *testing.B
	cmd     *exec.Cmd
	url     string
	metrics string
	c       *drmaa2.Client
	s       *drmaa2.JobSession
}

// newRig starts n nodes of so many cores and a scheduler that decides on `of` cores. Close ends them.
func newRig(b *testing.B, n int, cores float64, of int) *rig {
	b.Helper()
	inv, err := host.StartInventory("127.0.0.1:0", inventorymodel.Config{RemovalDelay: time.Second}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(inv.Stop)
	var nodes []*host.Node
	for i := range n {
		node, err := host.StartNode(host.NodeOptions{Kind: "k", Cell: i / 8, Listen: "127.0.0.1:0", Inventory: inv.Addr(),
			Model: nodemodel.Config{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint("z", i%3), Cores: cores, Memory: cores * 4,
				CoreOvercommit: 2, MemoryOvercommit: 2, OfferReviewTime: 100 * time.Microsecond, MaxWaitingOffers: 10000, StartSlots: 1000,
				CachedStartTime: time.Millisecond, UncachedStartFactor: 2, MaxCachedPrograms: 8, Seed: uint64(i)}, Log: zerolog.Nop()})
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, node)
	}
	b.Cleanup(func() {
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Add(1)
			go func() { defer wg.Done(); n.Stop() }()
		}
		wg.Wait()
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := inv.WaitFor(ctx, n); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &rig{b: b, metrics: l.Addr().String()}
	_ = l.Close()
	text, _ := json.Marshal(map[string]any{"name": "bench", "listen": "127.0.0.1:0", "metrics": r.metrics,
		"inventory": inv.Addr(), "seed": 1, "log": "error", "cores": of,
		"kinds":   []any{map[string]any{"name": "k", "cores": cores, "memory": cores * 4}},
		"classes": []any{map[string]any{"name": "service", "effect": "safe", "aim": "1s", "giveup": "10s", "cores": 0.25, "memory": 0.5}},
		"rules":   map[string]any{"acceptCores": 2, "acceptMemory": 2},
		"limits":  map[string]any{"clientOut": 256 << 20, "maxOpen": 100000}})
	path := filepath.Join(b.TempDir(), "s.cue")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.Fatal(err)
	}
	r.cmd = command("")("serve", "--config", path)
	r.cmd.Stderr = os.Stderr
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if os.Getenv("FLAXSHELF_TEST_PROFILE") == "" {
			_ = r.cmd.Process.Kill()
		} else {
			_ = r.cmd.Process.Signal(syscall.SIGTERM)
		}
		_ = r.cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	_, r.url, _ = strings.Cut(strings.TrimSpace(line), "http://")
	r.c = drmaa2.NewClient(r.url)
	b.Cleanup(r.c.Close)
	if r.s, err = r.c.CreateJobSession(ctx, "bench"); err != nil {
		b.Fatal(err)
	}
	for range 20 { // until all is warm
		job, err := r.s.RunJob(ctx, benchTemplate("1ms"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := job.WaitTerminated(ctx, 20*time.Second); err != nil {
			b.Fatal(err)
		}
	}
	return r
}

// cpu is the processor time of the scheduler's process so far.
func (r *rig) cpu() time.Duration { return time.Duration(r.value("process_cpu_seconds_total") * 1e9) }

// value reads a metric; labels are part of the name.
func (r *rig) value(name string) float64 {
	r.b.Helper()
	res, err := http.Get("http://" + r.metrics + "/metrics")
	if err != nil {
		r.b.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	for _, l := range bytes.Split(text, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(l, []byte(name+" ")); ok {
			v, _ := strconv.ParseFloat(string(rest), 64)
			return v
		}
	}
	r.b.Fatalf("no metric %s", name)
	return 0
}

func benchTemplate(life string) drmaa2.JobTemplate {
	return drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "service", ImplementationSpecific: map[string]string{
		drmaa2.AttrLife: life}}
}

// BenchmarkPlacements saturates a scheduler with clients that submit one job after the other, each on a connection
// of its own, and sets the CPU of its whole process beside the module's share.
func BenchmarkPlacements(b *testing.B) {
	for _, c := range []struct{ nodes, cores int }{{33, 1}, {130, 1}, {130, 2}, {130, 4}, {130, 8}} {
		b.Run(fmt.Sprintf("nodes=%d/cores=%d", c.nodes, c.cores), func(b *testing.B) {
			r := newRig(b, c.nodes, 64, c.cores)
			ctx, s := context.Background(), r.s
			cpu, module := r.cpu(), r.value("flaxshelf_module_seconds_total")
			b.ResetTimer()
			const clients = 128
			var wg sync.WaitGroup
			for c := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := c; i < b.N; i += clients {
						t := benchTemplate("300ms")
						t.ImplementationSpecific[drmaa2.AttrService] = fmt.Sprint("v", i%200)
						if _, err := s.RunJob(ctx, t); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			wg.Wait()
			placed := func() float64 {
				return r.value(`flaxshelf_outcomes_total{class="service",outcome="placed"}`)
			}
			for until := time.Now().Add(20 * time.Second); placed() < float64(b.N+20) && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			b.StopTimer()
			all := (r.cpu() - cpu).Seconds() / float64(b.N) * 1e6
			mod := (r.value("flaxshelf_module_seconds_total") - module) / float64(b.N) * 1e6
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
			b.ReportMetric(all, "cpu-us/placement")
			b.ReportMetric(mod, "module-us/placement")
			b.ReportMetric((all-mod)/mod, "rest/module")
			b.ReportMetric(r.value(`flaxshelf_submit_to_offer_seconds{quantile="0.99"}`)*1e3, "p99-ms")
		})
	}
}

// BenchmarkLatency submits 1,000 jobs a second, open-loop, for b.N milliseconds or so, and reports the scheduler's
// own time from taking a submission to its offer.
func BenchmarkLatency(b *testing.B) {
	r := newRig(b, 33, 64, 1)
	ctx, s := context.Background(), r.s
	var wg sync.WaitGroup
	b.ResetTimer()
	begin := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := benchTemplate("500ms")
			t.ImplementationSpecific[drmaa2.AttrService] = fmt.Sprint("v", i%200)
			if _, err := s.RunJob(ctx, t); err != nil {
				b.Error(err)
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	for _, q := range []string{"0.5", "0.99", "0.999"} {
		b.ReportMetric(r.value(`flaxshelf_submit_to_offer_seconds{quantile="`+q+`"}`)*1e3, "p"+q+"-ms")
	}
}

// BenchmarkMemory has 100,000 jobs running and reports the process's memory for each. It runs once.
func BenchmarkMemory(b *testing.B) {
	const jobs, part = 100000, 10000
	r := newRig(b, 33, 1000, 1)
	ctx, s := context.Background(), r.s
	heap, rss := r.value("go_memstats_heap_inuse_bytes"), r.value("process_resident_memory_bytes")
	for range jobs / part {
		if _, err := s.RunBulkJobs(ctx, benchTemplate("10h"), 1, part, 1, 0); err != nil {
			b.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	running := func() (n float64) { return r.value(`flaxshelf_outcomes_total{class="service",outcome="placed"}`) }
	for until := time.Now().Add(60 * time.Second); running() < jobs && time.Now().Before(until); {
		time.Sleep(100 * time.Millisecond)
	}
	for b.Loop() {
	}
	b.ReportMetric(running(), "jobs")
	b.ReportMetric((r.value("go_memstats_heap_inuse_bytes")-heap)/running(), "heap-B/job")
	b.ReportMetric((r.value("process_resident_memory_bytes")-rss)/running(), "rss-B/job")
}
