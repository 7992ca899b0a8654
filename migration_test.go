package flaxshelf

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// migrationCase is the reported service levels of task a on machine m0 and of a task on each of three other machines.
type migrationCase struct {
	name      string
	change    func(*Config)
	disabled  []PolicyRule
	levels    [3]float64    // of task a, in successive reports
	interval  time.Duration // between reports; zero means a second
	elsewhere float64       // service level of the tasks on the other machines
	alone     bool          // there are no tasks on the other machines
	failing   bool          // the class fails on another machine
	rejecting bool          // another machine rejects tasks
	ejected   bool          // two other machines are ejected, whatever the class
	want      int           // migrations of task a
}

// A task that is served poorly for a while is migrated, unless that does not pay or nothing better is known.
func TestPoorlyServedTaskIsMigratedOnce(t *testing.T) {
	for _, c := range []migrationCase{
		{name: "half is lacking, in two reports", levels: [3]float64{0.4, 0.4, 0.3}, elsewhere: 1, want: 1},
		{name: "a little is lacking", levels: [3]float64{0.8, 0.8, 0.8}, elsewhere: 1},
		{name: "one poor report, then a good one", levels: [3]float64{0.4, 1, 0.4}, elsewhere: 1,
			interval: 600 * millisecond},
		{name: "nothing is known of the others", levels: [3]float64{0.4, 0.4, 0.4}, alone: true},
		{name: "all serve poorly", levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 0.6},
		{name: "its class fails elsewhere", levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1, failing: true},
		{name: "a machine rejects", levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1, rejecting: true},
		{name: "too few others are not ejected", levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1, ejected: true},
		{name: "a migration costs more", change: func(cfg *Config) { cfg.Prices.Migration = 0.9 },
			levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1},
		{name: "starts take longer than lifetimes", levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1,
			change: func(cfg *Config) { cfg.Classes[0].LatencyObjective = time.Minute }},
		{name: "disabled", disabled: []PolicyRule{TaskMigration}, levels: [3]float64{0.4, 0.4, 0.4}, elsewhere: 1},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

// run checks how often task a is migrated.
func (c migrationCase) run(t *testing.T) {
	t.Helper()
	cfg := testConfig()
	if c.change != nil {
		c.change(&cfg)
	}
	p := startPlacer(t, cfg, testMachines(4))
	p.Disable(c.disabled...)
	c.adopt(p)
	migrations := 0
	for i, level := range c.levels {
		now := 3*time.Second + Time(i)*cmp.Or(c.interval, time.Second)
		c.disturb(p, now)
		for _, action := range p.Step(now, c.reports(level)) {
			migrate, ok := action.(Migrate)
			switch {
			case !ok:
			case migrate.Task == "a":
				migrations++
			default:
				t.Errorf("%s was migrated, want only a", migrate.Task)
			}
		}
	}
	if migrations != c.want {
		t.Errorf("migrated %d times, want %d", migrations, c.want)
	}
}

// adopt adds a running task on each machine, or on the first alone.
func (c migrationCase) adopt(p *Placer) {
	var events []Event
	for i, id := range []string{"a", "b", "c", "d"} {
		if i > 0 && c.alone {
			break
		}
		task := submit(id, 0, 0).Task
		task.Service = id
		events = append(events, TaskAdopted{Task: task, Machine: fmt.Sprintf("m%d", i)})
	}
	p.Step(2*time.Second, events)
}

// disturb makes the last machine fail or reject tasks, or ejects the last two.
func (c migrationCase) disturb(p *Placer, now Time) {
	last := p.findOrAddMachine("m3")
	if c.failing {
		p.recordFailure(last.healthOf(0))
		p.invalidate(last)
	}
	for _, id := range []string{"m2", "m3"} {
		if m := p.findOrAddMachine(id); c.ejected {
			p.recordFailure(&m.health)
			p.invalidate(m)
		}
	}
	if c.rejecting {
		last.rejectsUntil = now + time.Second
		p.invalidate(last)
	}
}

// reports returns the usage reports of all tasks.
func (c migrationCase) reports(level float64) []Event {
	report := func(task, machine string, amount float64) Event {
		return UsageReport{Task: task, Machine: machine, Kind: ServiceLevel, Amount: amount}
	}
	return []Event{report("b", "m1", c.elsewhere), report("c", "m2", c.elsewhere), report("d", "m3", c.elsewhere),
		report("a", "m0", level)}
}
