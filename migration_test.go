package flaxshelf

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// migrationCase is a case in which task a runs on machine m0 and a task of another service on each of m1, m2 and m3, and all
// of them report their service levels.
type migrationCase struct {
	name              string
	configure         func(*Config)
	disabled          []PolicyRule
	serviceLevels     [3]float64    // of task a, in its three reports
	reportInterval    time.Duration // zero means 1 s
	otherServiceLevel float64       // of the tasks on the other machines
	noOtherTasks      bool          // the other machines have no tasks
	classFails        bool          // the class is ejected on m3
	machineRejects    bool          // m3 rejects tasks
	machinesEjected   bool          // m2 and m3 are ejected for all classes
	wantMigrations    int           // number of migrations of task a
}

// A task with a poor service level in successive reports is migrated once, unless the migration costs more than it gains or
// no better machines are known.
func TestPoorlyServedTaskIsMigratedOnce(t *testing.T) {
	for _, c := range []migrationCase{
		{name: "poor service in successive reports", serviceLevels: [3]float64{0.4, 0.4, 0.3}, otherServiceLevel: 1,
			wantMigrations: 1},
		{name: "service slightly reduced", serviceLevels: [3]float64{0.8, 0.8, 0.8}, otherServiceLevel: 1},
		{name: "poor service interrupted by a good report", serviceLevels: [3]float64{0.4, 1, 0.4}, otherServiceLevel: 1,
			reportInterval: 600 * millisecond},
		{name: "no tasks on other machines", serviceLevels: [3]float64{0.4, 0.4, 0.4}, noOtherTasks: true},
		{name: "poor service on all machines", serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 0.6},
		{name: "class ejected on another machine", serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1,
			classFails: true},
		{name: "another machine rejects tasks", serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1,
			machineRejects: true},
		{name: "two other machines ejected", serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1,
			machinesEjected: true},
		{name: "migration costs more than it gains", configure: func(cfg *Config) { cfg.Prices.Migration = 0.9 },
			serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1},
		{name: "latency objective as long as the mean lifetime", serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1,
			configure: func(cfg *Config) { cfg.Classes[0].LatencyObjective = time.Minute }},
		{name: "migration disabled", disabled: []PolicyRule{TaskMigration},
			serviceLevels: [3]float64{0.4, 0.4, 0.4}, otherServiceLevel: 1},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

// run sends the reports of a case and checks how often task a is migrated.
func (c migrationCase) run(t *testing.T) {
	t.Helper()
	cfg := testConfig()
	if c.configure != nil {
		c.configure(&cfg)
	}
	p := startPlacer(t, cfg, testMachines(4))
	p.Disable(c.disabled...)
	c.adoptTasks(p)
	migrations := 0
	for i, level := range c.serviceLevels {
		now := 3*time.Second + Time(i)*cmp.Or(c.reportInterval, time.Second)
		c.applyFaults(p, now)
		for _, action := range p.Step(now, c.usageReports(level)) {
			migrate, ok := action.(Migrate)
			switch {
			case !ok:
			case migrate.Task == "a":
				migrations++
			default:
				t.Errorf("task %s is migrated, want only task a", migrate.Task)
			}
		}
	}
	if migrations != c.wantMigrations {
		t.Errorf("got %d migrations of task a, want %d", migrations, c.wantMigrations)
	}
}

// adoptTasks reports a running task on each machine, or on m0 alone if noOtherTasks is set.
func (c migrationCase) adoptTasks(p *Placer) {
	var events []Event
	for i, id := range []string{"a", "b", "c", "d"} {
		if i > 0 && c.noOtherTasks {
			break
		}
		task := newSubmission(id, 0, 0).Task
		task.Service = id
		events = append(events, TaskAdopted{Task: task, Machine: fmt.Sprintf("m%d", i)})
	}
	p.Step(2*time.Second, events)
}

// applyFaults records the faults of a case: failures of the class on m3, rejections by m3, or failures of m2 and m3.
func (c migrationCase) applyFaults(p *Placer, now Time) {
	last := p.findOrAddMachine("m3")
	if c.classFails {
		p.recordFailure(last.healthOf(0))
		p.invalidate(last)
	}
	for _, id := range []string{"m2", "m3"} {
		if m := p.findOrAddMachine(id); c.machinesEjected {
			p.recordFailure(&m.health)
			p.invalidate(m)
		}
	}
	if c.machineRejects {
		last.rejectsUntil = now + time.Second
		p.invalidate(last)
	}
}

// usageReports returns the service levels of all tasks; level is that of task a.
func (c migrationCase) usageReports(level float64) []Event {
	report := func(task, machine string, amount float64) Event {
		return UsageReport{Task: task, Machine: machine, Kind: ServiceLevel, Amount: amount}
	}
	return []Event{report("b", "m1", c.otherServiceLevel), report("c", "m2", c.otherServiceLevel),
		report("d", "m3", c.otherServiceLevel), report("a", "m0", level)}
}
