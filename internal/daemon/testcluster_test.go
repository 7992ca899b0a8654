package daemon

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

const testSettings = `
name: "s"
listen: "127.0.0.1:0"
inventory: "127.0.0.1:0"
kinds: [{name: "k", cores: 64, memory: 256}]
classes: [
	{name: "service", effect: "safe", aim: "1s", giveup: "5s", cores: 0.01, memory: 0.01},
	{name: "once", effect: "unsafe", aim: "1s", giveup: "2s", cores: 0.01, memory: 0.01},
	{name: "huge", effect: "safe", aim: "1s", giveup: "1s", cores: 1000, memory: 1},
]
rules: {acceptCores: 2, acceptMemory: 2, drainGrace: "2s", settle: "1s"}
limits: {idle: "20s", request: "500ms", clientOut: 65536, stopWithin: "5s"}
`

// clusterOptions configures a testCluster. The zero value configures a scheduler without nodes.
type clusterOptions struct {
	nodes     int
	configure func(*settings.Scheduler, *nodemodel.Config) // changes the default settings; nil for none
	hook      Hook                                         // of the daemon; nil for none
	log       io.Writer                                    // of the daemon; nil for none
}

// testCluster is a scheduler with an inventory and nodes, all in this process.
type testCluster struct {
	t         testing.TB
	options   clusterOptions
	settings  *settings.Scheduler
	inventory *host.Inventory
	nodes     []*host.Node
	daemon    *Daemon
	client    *drmaa2.Client
}

// newTestCluster starts a scheduler, its inventory and its nodes, and stops them at the end of the test.
func newTestCluster(t testing.TB, options clusterOptions) *testCluster {
	t.Helper()
	cfg, err := settings.ParseScheduler("test", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	model := nodemodel.Config{
		Cores:               64,
		Memory:              256,
		CoreOvercommit:      2,
		MemoryOvercommit:    2,
		OfferReviewTime:     100 * time.Microsecond,
		MaxWaitingOffers:    1000,
		StartSlots:          64,
		CachedStartTime:     time.Millisecond,
		UncachedStartFactor: 1,
		MaxCachedPrograms:   4,
	}
	if options.configure != nil {
		options.configure(cfg, &model)
	}
	cluster := &testCluster{t: t, options: options, settings: cfg}
	cluster.inventory, err = host.StartInventory("127.0.0.1:0", inventorymodel.Config{RemovalDelay: 50 * time.Millisecond},
		zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.inventory.Stop)
	cluster.startNodes(model)
	cfg.InventoryAddress = cluster.inventory.Addr()
	cluster.startDaemon()
	t.Cleanup(func() {
		cluster.client.Close()
		if err := cluster.daemon.Stop(); err != nil {
			t.Error(err)
		}
	})
	return cluster
}

// newTestSession starts a test cluster and creates a job session in it. The context ends after the timeout, and at the latest
// at the end of the test.
func newTestSession(t testing.TB, timeout time.Duration, options clusterOptions) (context.Context, *testCluster,
	*drmaa2.JobSession) {
	t.Helper()
	cluster := newTestCluster(t, options)
	ctx := contextWithin(t, timeout)
	return ctx, cluster, cluster.createSession(ctx, "test")
}

// startNodes starts the nodes and waits until the inventory lists them.
func (c *testCluster) startNodes(model nodemodel.Config) {
	c.t.Helper()
	keys := host.NewConcurrentKeyRegistry()
	for i := range c.options.nodes {
		model.Name, model.Seed = fmt.Sprintf("n%d", i), uint64(i)
		node, err := host.StartNode(host.NodeOptions{Model: model, Kind: "k", ListenAddress: "127.0.0.1:0",
			InventoryAddress: c.inventory.Addr(), Keys: keys, Log: zerolog.Nop()})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(node.Stop)
		c.nodes = append(c.nodes, node)
	}
	if err := c.inventory.WaitForNodes(contextWithin(c.t, 10*time.Second), c.options.nodes); err != nil {
		c.t.Fatal(err)
	}
}

// startDaemon starts the daemon and its client. It sets the daemon's address in the settings, so that a restarted daemon has the
// same address.
func (c *testCluster) startDaemon() {
	c.t.Helper()
	log := zerolog.Nop()
	if c.options.log != nil {
		log = zerolog.New(c.options.log)
	}
	d, err := StartWithHook(c.settings, log, c.options.hook)
	if err != nil {
		c.t.Fatal(err)
	}
	c.daemon = d
	c.settings.ListenAddress = d.Addr()
	c.client = drmaa2.NewClient(d.Addr())
}

// restartDaemon stops the daemon without a graceful shutdown and starts it again.
func (c *testCluster) restartDaemon() {
	c.t.Helper()
	c.client.Close()
	if err := c.daemon.Stop(); err != nil {
		c.t.Fatal(err)
	}
	c.startDaemon()
}

func (c *testCluster) createSession(ctx context.Context, name string) *drmaa2.JobSession {
	c.t.Helper()
	session, err := c.client.CreateJobSession(ctx, name)
	if err != nil {
		c.t.Fatal(err)
	}
	return session
}

func (c *testCluster) monitoringSession(ctx context.Context) *drmaa2.MonitoringSession {
	c.t.Helper()
	session, err := c.client.OpenMonitoringSession(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	return session
}

// tasksFinishedOnNodes returns the number of tasks that all nodes have finished.
func (c *testCluster) tasksFinishedOnNodes() (finished int) {
	for _, node := range c.nodes {
		node.Do(func(m *nodemodel.Node, _ nodemodel.Time) []nodemodel.Envelope {
			finished += m.FinishedTasks()
			return nil
		})
	}
	return finished
}

// contextWithin returns a context that ends after the timeout, and at the latest at the end of the test.
func contextWithin(t testing.TB, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// jobTemplate returns the template of a job with a class and an expected runtime. The attributes are pairs of a name and a
// value.
func jobTemplate(class string, runtime time.Duration, attributes ...string) drmaa2.JobTemplate {
	template := drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: class,
		ImplementationSpecific: map[string]string{drmaa2.AttrExpectedRuntime: runtime.String()}}
	for i := 0; i+1 < len(attributes); i += 2 {
		template.ImplementationSpecific[attributes[i]] = attributes[i+1]
	}
	return template
}

// metricValues returns the values of the daemon's counters and gauges. The keys are series, such as name{label="value"}.
func metricValues(t *testing.T, d *Daemon) map[string]float64 {
	t.Helper()
	families, err := d.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, fmt.Sprintf("%s=%q", label.GetName(), label.GetValue()))
			}
			series := family.GetName()
			if len(labels) > 0 {
				series += "{" + strings.Join(labels, ",") + "}"
			}
			values[series] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values
}

// metricValue returns the value of one series of the daemon, and fails the test if there is none.
func metricValue(t *testing.T, d *Daemon, series string) float64 {
	t.Helper()
	value, ok := metricValues(t, d)[series]
	if !ok {
		t.Fatalf("no metric %s", series)
	}
	return value
}
