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
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// benchScheduler is a scheduler in a process of its own, so that its CPU time and memory can be measured. Its stand-in nodes run
// in this process.
type benchScheduler struct {
	b              *testing.B
	metricsAddress string // address
	session        *drmaa2.JobSession
}

// startBenchScheduler starts nodes with nodeCores cores each, and a scheduler with schedulerCores cores. Cleanup functions of the
// benchmark stop them.
func startBenchScheduler(b *testing.B, nodes int, nodeCores float64, schedulerCores int) *benchScheduler {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	inventory := startBenchFleet(ctx, b, nodes, nodeCores)
	s := &benchScheduler{b: b, metricsAddress: freeAddress(b)}
	url := startBenchProcess(b, writeBenchConfig(b, s.metricsAddress, inventory, nodeCores, schedulerCores))
	client := drmaa2.NewClient(url)
	b.Cleanup(client.Close)
	var err error
	if s.session, err = client.CreateJobSession(ctx, "bench"); err != nil {
		b.Fatal(err)
	}
	s.warmUp(ctx)
	return s
}

// startBenchFleet starts an inventory and nodes, waits until all nodes are registered, and returns the inventory's address.
func startBenchFleet(ctx context.Context, b *testing.B, count int, cores float64) string {
	b.Helper()
	inventory, err := host.StartInventory(loopbackAnyPort, inventorymodel.Config{RemovalDelay: time.Second}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(inventory.Stop)
	var nodes []*host.Node
	b.Cleanup(func() {
		var stops sync.WaitGroup
		for _, node := range nodes {
			stops.Go(node.Stop)
		}
		stops.Wait()
	})
	for i := range count {
		node, err := host.StartNode(host.NodeOptions{Kind: "k", Cell: i / 8, ListenAddress: loopbackAnyPort,
			InventoryAddress: inventory.Addr(), Model: benchNode(i, cores), Log: zerolog.Nop()})
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, node)
	}
	if err := inventory.WaitForNodes(ctx, count); err != nil {
		b.Fatal(err)
	}
	return inventory.Addr()
}

func benchNode(index int, cores float64) nodemodel.Config {
	return nodemodel.Config{Name: fmt.Sprintf("n%d", index), Zone: fmt.Sprint("z", index%3), Cores: cores, Memory: cores * 4,
		CoreOvercommit: 2, MemoryOvercommit: 2, OfferReviewTime: 100 * time.Microsecond, MaxWaitingOffers: 10000, StartSlots: 1000,
		CachedStartTime: time.Millisecond, UncachedStartFactor: 2, MaxCachedPrograms: 8, Seed: uint64(index)}
}

// freeAddress returns a loopback address whose port was free when it was checked.
func freeAddress(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeBenchConfig writes the configuration of a scheduler to a file and returns its path.
func writeBenchConfig(b *testing.B, metrics, inventory string, nodeCores float64, schedulerCores int) string {
	b.Helper()
	text, err := json.Marshal(map[string]any{"name": "bench", "listen": loopbackAnyPort, "metrics": metrics,
		"inventory": inventory, "seed": 1, "log": "error", "cores": schedulerCores,
		"kinds": []any{map[string]any{"name": "k", "cores": nodeCores, "memory": nodeCores * 4}},
		"classes": []any{map[string]any{"name": "service", "effect": "safe", "aim": "1s", "giveup": "10s", "cores": 0.25,
			"memory": 0.5}},
		"rules":  map[string]any{"acceptCores": 2, "acceptMemory": 2},
		"limits": map[string]any{"clientOut": 256 << 20, "maxOpen": 100000}})
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(b.TempDir(), "s.cue")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// startBenchProcess starts the process of a scheduler and returns its URL.
func startBenchProcess(b *testing.B, configPath string) string {
	b.Helper()
	process := schedulerCommand("")("serve", "--config", configPath)
	process.Stderr = os.Stderr
	output, err := process.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := process.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if os.Getenv(profilePathEnv) == "" {
			_ = process.Process.Kill()
		} else {
			_ = process.Process.Signal(syscall.SIGTERM) // so that it writes its profile
		}
		_ = process.Wait() // the status of a killed process is always an error
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	_, url, _ := strings.Cut(strings.TrimSpace(line), "http://")
	return url
}

// warmUp runs some jobs until they have ended, so that all connections are open and all programs are cached.
func (s *benchScheduler) warmUp(ctx context.Context) {
	s.b.Helper()
	for range warmUpJobs {
		job, err := s.session.RunJob(ctx, benchTemplate("1ms"))
		if err != nil {
			s.b.Fatal(err)
		}
		if _, err := job.WaitTerminated(ctx, 20*time.Second); err != nil {
			s.b.Fatal(err)
		}
	}
}

// warmUpJobs is the number of jobs that warmUp runs.
const warmUpJobs = 20

// processCPU returns the CPU time of the scheduler's process.
func (s *benchScheduler) processCPU() time.Duration {
	return time.Duration(s.metric("process_cpu_seconds_total") * 1e9)
}

// metric returns the value of a metric. The name includes the labels.
func (s *benchScheduler) metric(name string) float64 {
	s.b.Helper()
	response, err := http.Get("http://" + s.metricsAddress + "/metrics")
	if err != nil {
		s.b.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.b.Fatal(err)
	}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if number, ok := bytes.CutPrefix(line, []byte(name+" ")); ok {
			value, err := strconv.ParseFloat(string(number), 64)
			if err != nil {
				s.b.Fatal(err)
			}
			return value
		}
	}
	s.b.Fatalf("no metric %s", name)
	return 0
}

// placed returns the number of placed jobs.
func (s *benchScheduler) placed() float64 {
	s.b.Helper()
	return s.metric(`flaxshelf_outcomes_total{class="service",outcome="placed"}`)
}

// awaitPlaced reads the number of placed jobs at an interval, until it reaches jobs or the timeout is over. A time-out is no
// failure.
func (s *benchScheduler) awaitPlaced(ctx context.Context, jobs int, timeout, interval time.Duration) {
	s.b.Helper()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for s.placed() < float64(jobs) && !canceled(ctx) {
		sleep(ctx, interval)
	}
}

func benchTemplate(runtime string) drmaa2.JobTemplate {
	return drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "service", ImplementationSpecific: map[string]string{
		drmaa2.AttrExpectedRuntime: runtime}}
}

// BenchmarkPlacements saturates a scheduler with 128 clients that submit one job after the other, each on its own connection. It
// compares the CPU time of the scheduler's process with that of its module.
func BenchmarkPlacements(b *testing.B) {
	for _, c := range []struct{ nodes, cores int }{{33, 1}, {130, 1}, {130, 2}, {130, 4}, {130, 8}} {
		b.Run(fmt.Sprintf("nodes=%d/cores=%d", c.nodes, c.cores), func(b *testing.B) {
			ctx, s := context.Background(), startBenchScheduler(b, c.nodes, 64, c.cores)
			cpu, module := s.processCPU(), s.metric("flaxshelf_module_seconds_total")
			b.ResetTimer()
			const clientCount = 128
			var running sync.WaitGroup
			for first := range clientCount {
				running.Go(func() {
					for i := first; i < b.N; i += clientCount {
						template := benchTemplate("300ms")
						template.ImplementationSpecific[drmaa2.AttrService] = fmt.Sprint("v", i%200)
						if _, err := s.session.RunJob(ctx, template); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			running.Wait()
			s.awaitPlaced(ctx, b.N+warmUpJobs, 20*time.Second, time.Millisecond)
			b.StopTimer()
			perPlacement := 1e6 / float64(b.N) // microseconds
			processCPU := (s.processCPU() - cpu).Seconds() * perPlacement
			moduleCPU := (s.metric("flaxshelf_module_seconds_total") - module) * perPlacement
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
			b.ReportMetric(processCPU, "cpu-us/placement")
			b.ReportMetric(moduleCPU, "module-us/placement")
			b.ReportMetric((processCPU-moduleCPU)/moduleCPU, "rest/module")
			b.ReportMetric(s.metric(`flaxshelf_submit_to_offer_seconds{quantile="0.99"}`)*1e3, "p99-ms")
		})
	}
}

// BenchmarkLatency submits b.N jobs at 1,000 per second, open-loop, and reports quantiles of the time from a submission to its
// offer as the scheduler measures it.
func BenchmarkLatency(b *testing.B) {
	ctx, s := context.Background(), startBenchScheduler(b, 33, 64, 1)
	var running sync.WaitGroup
	b.ResetTimer()
	begin := time.Now()
	for i := range b.N {
		sleepUntil(ctx, begin.Add(time.Duration(i)*time.Millisecond))
		running.Go(func() {
			template := benchTemplate("500ms")
			template.ImplementationSpecific[drmaa2.AttrService] = fmt.Sprint("v", i%200)
			if _, err := s.session.RunJob(ctx, template); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
	b.StopTimer()
	for _, q := range []string{"0.5", "0.99", "0.999"} {
		b.ReportMetric(s.metric(`flaxshelf_submit_to_offer_seconds{quantile="`+q+`"}`)*1e3, "p"+q+"-ms")
	}
}

// BenchmarkMemory starts 100,000 jobs and reports the memory of the scheduler's process per placed job. Because of b.Loop its
// body runs only once.
func BenchmarkMemory(b *testing.B) {
	const jobs, arraySize, arrayPause = 100000, 10000, 500 * time.Millisecond
	ctx, s := context.Background(), startBenchScheduler(b, 33, 1000, 1)
	heap, rss := s.metric("go_memstats_heap_inuse_bytes"), s.metric("process_resident_memory_bytes")
	for range jobs / arraySize {
		if _, err := s.session.RunBulkJobs(ctx, benchTemplate("10h"), 1, arraySize, 1, 0); err != nil {
			b.Fatal(err)
		}
		sleep(ctx, arrayPause)
	}
	s.awaitPlaced(ctx, jobs, time.Minute, 100*time.Millisecond)
	for b.Loop() {
	}
	b.ReportMetric(s.placed(), "jobs")
	b.ReportMetric((s.metric("go_memstats_heap_inuse_bytes")-heap)/s.placed(), "heap-B/job")
	b.ReportMetric((s.metric("process_resident_memory_bytes")-rss)/s.placed(), "rss-B/job")
}
