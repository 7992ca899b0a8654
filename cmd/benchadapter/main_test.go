package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/benchadapter"
)

// startLines returns the lines that start an instance and send it a list of three machines.
func startLines(instance int) string {
	return fmt.Sprintf("UP who=%d init_seed=%d kinds=k specifics.kind_cores=30 specifics.mem_of_kind=86 "+
		"categories.count=1 categories.0.name=c categories.0.effect=read_like\n"+
		"REGISTER page=0 records=3\nM node=a shape=k\nM node=b shape=k\nM node=c shape=k\n"+
		"VIEW who=%d form=Persisted page=0\n", instance, instance+5, instance)
}

// script returns input that starts the instances, and then has 20 batches, each of which submits one task to every instance.
func script(instances ...int) string {
	var s strings.Builder
	s.WriteString("FRAME clock_ns=1000 serial=1\n")
	for _, instance := range instances {
		s.WriteString(startLines(instance))
	}
	s.WriteString("END\n")
	for n := range 20 {
		fmt.Fprintf(&s, "FRAME clock_ns=%d serial=%d\n", 2000000*(n+1), n+2)
		for _, instance := range instances {
			fmt.Fprintf(&s, "TO_PLACE who=%d tid=t%d valid_until_ns=5000000000 priority=c cores=1 ram_units=1\n", instance, n)
		}
		s.WriteString("END\n")
	}
	return s.String()
}

// replyLines returns the lines about one instance from all replies to the input in.
func replyLines(t *testing.T, in, instance string) string {
	t.Helper()
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var s strings.Builder
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, " who="+instance+" ") {
			s.WriteString(line)
		}
	}
	return s.String()
}

// The actions of an instance must not depend on other instances.
func TestInstancesAreIsolated(t *testing.T) {
	together, alone := replyLines(t, script(1, 2, 3), "2"), replyLines(t, script(2), "2")
	if together != alone || strings.Count(alone, "BIND") != 20 {
		t.Errorf("got with other instances\n%s\nwant the 20 offers that the instance makes alone\n%s", together, alone)
	}
}

func TestStoppedInstanceDoesNotAct(t *testing.T) {
	in := "FRAME clock_ns=1 serial=1\n" + startLines(1) + "END\n" +
		"FRAME clock_ns=9 serial=2\nTO_PLACE who=1 tid=t valid_until_ns=5000000000 priority=c\nRETIRE who=1\nEND\n"
	if got := replyLines(t, in, "1"); got != "" {
		t.Errorf("after the stop: got %s, want no actions", got)
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("FRAME clock_ns=1 serial=7\nWAKEUP who=?\nEND\n"), &out)
	if err == nil || err.Error() != `malformed input: batch 7, field who, value "?"` || out.Len() != 0 {
		t.Errorf("got %v, wrote %q, want an error of batch 7, field who, and no output", err, out.String())
	}
}

func TestInvalidSettingsNameTheField(t *testing.T) {
	in := strings.Replace(script(1), "specifics.kind_cores=30", "specifics.kind_cores=0", 1)
	err := serve(strings.NewReader(in), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "Kinds[0] (k)") {
		t.Errorf("got %v, want an error that names Kinds[0] (k)", err)
	}
}

// A panic of the module must not end the process: it becomes a BUG message of the instance. Here, the call of a method of a nil
// Placer panics.
func TestPanicBecomesBug(t *testing.T) {
	var out bytes.Buffer
	w := benchadapter.NewWriter(&out)
	stepInstance(nil, &benchadapter.Batch{Now: 1}, 4, []flaxshelf.Event{flaxshelf.TimerFired{}}, w)
	if err := w.EndReply(1); err != nil || !strings.HasPrefix(out.String(), "BUG who=4 msg=runtime error") {
		t.Errorf("got error %v, wrote %q, want a BUG message of a runtime error", err, out.String())
	}
}
