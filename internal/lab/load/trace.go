// Package load owns what is sent to a scheduler to try it: shapes of load, captured loads and their files, and the
// open-loop sender that counts from the intended time. It must not know of the scheduler's insides.
package load

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/lab/load/tracepb"
)

// Version is the version of the trace format.
const Version = 1

// maxRecord bounds a record of a trace in bytes.
const maxRecord = 1 << 20

// Job is one submission of a load.
type Job struct {
	At                     time.Duration // since the start: the intended time
	Class, Service, Tenant string
	Cores, Memory          float64 // 0: as the class has it
	Life                   time.Duration
	CutOff                 bool // the life was seen for so long and not to its end
	Outcome                string
}

// Gap is a time in which a capture heard nothing.
type Gap struct{ From, To time.Duration }

// Trace is a captured load.
type Trace struct {
	Source    string
	Start     time.Time
	Anonymous bool
	Jobs      []Job
	Gaps      []Gap
}

// Length is the time from the start to the last submission.
func (t *Trace) Length() time.Duration {
	if len(t.Jobs) == 0 {
		return 0
	}
	return t.Jobs[len(t.Jobs)-1].At
}

// Anonymise replaces the names of services and tenants by keyed hashes: equal names stay equal, and who has not the
// key can't try names out. Classes stay, since a load is of use only with them.
func (t *Trace) Anonymise(key string) error {
	var k [32]byte
	blake3.DeriveKey("flaxshelf trace names v1", []byte(key), k[:])
	h, err := blake3.NewKeyed(k[:])
	if err != nil {
		return fmt.Errorf("load: anonymise: %w", err)
	}
	hide := func(kind, name string) string {
		if name == "" {
			return ""
		}
		h.Reset()
		_, _ = h.WriteString(kind + "\x00" + name)
		return fmt.Sprintf("%s-%x", kind, h.Sum(nil)[:8])
	}
	for i := range t.Jobs {
		j := &t.Jobs[i]
		j.Service, j.Tenant = hide("v", j.Service), hide("t", j.Tenant)
	}
	t.Anonymous = true
	return nil
}

// Write writes a trace with its checksum.
func (t *Trace) Write(w io.Writer) error {
	sum := xxhash.New()
	buf := bufio.NewWriter(io.MultiWriter(w, sum))
	put := func(r *tracepb.Record) error {
		_, err := protodelim.MarshalTo(buf, r)
		return err
	}
	err := put(&tracepb.Record{Body: &tracepb.Record_Head{Head: &tracepb.Head{Version: Version, Source: t.Source,
		StartUnixNs: t.Start.UnixNano(), Anonymous: t.Anonymous}}})
	for _, g := range t.Gaps {
		err = errors.Join(err, put(&tracepb.Record{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{FromNs: int64(g.From),
			ToNs: int64(g.To)}}}))
	}
	for i := range t.Jobs {
		j := &t.Jobs[i]
		err = errors.Join(err, put(&tracepb.Record{Body: &tracepb.Record_Job{Job: &tracepb.Job{AtNs: int64(j.At),
			Class: j.Class, Service: j.Service, Tenant: j.Tenant, Cores: j.Cores, Memory: j.Memory, LifeNs: int64(j.Life),
			CutOff: j.CutOff, Outcome: j.Outcome}}}))
	}
	if err = errors.Join(err, buf.Flush()); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	if err := put(&tracepb.Record{Body: &tracepb.Record_Tail{Tail: &tracepb.Tail{Jobs: uint64(len(t.Jobs)),
		Checksum: sum.Sum64()}}}); err != nil {
		return fmt.Errorf("load: write trace: %w", err)
	}
	return buf.Flush()
}

// Errors of a trace.
var (
	ErrCutOff   = errors.New("load: the trace ends before its end")
	ErrChecksum = errors.New("load: the trace is damaged")
)

// Read reads a trace and checks it.
func Read(r io.Reader) (*Trace, error) {
	all, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("load: read trace: %w", err)
	}
	in := bytes.NewReader(all)
	t := &Trace{}
	for first := true; ; first = false {
		at := len(all) - in.Len()
		rec := &tracepb.Record{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxRecord}).UnmarshalFrom(in, rec); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, ErrCutOff
			}
			return nil, fmt.Errorf("load: not a trace: %w", err)
		}
		h := rec.GetHead()
		if first != (h != nil) {
			return nil, errors.New("load: not a trace: its head is not where it should be")
		}
		switch b := rec.Body.(type) {
		case *tracepb.Record_Head:
			if h.Version != Version {
				return nil, fmt.Errorf("load: a trace of version %d, this build reads %d", h.Version, Version)
			}
			t.Source, t.Start, t.Anonymous = h.Source, time.Unix(0, h.StartUnixNs), h.Anonymous
		case *tracepb.Record_Gap:
			t.Gaps = append(t.Gaps, Gap{time.Duration(b.Gap.FromNs), time.Duration(b.Gap.ToNs)})
		case *tracepb.Record_Job:
			j, err := job(b.Job)
			if err != nil {
				return nil, err
			}
			t.Jobs = append(t.Jobs, j)
		case *tracepb.Record_Tail:
			if b.Tail.Checksum != xxhash.Sum64(all[:at]) || b.Tail.Jobs != uint64(len(t.Jobs)) || in.Len() > 0 {
				return nil, ErrChecksum
			}
			t.sort()
			return t, nil
		default:
			return nil, errors.New("load: a record of an unknown kind")
		}
	}
}

func job(b *tracepb.Job) (Job, error) {
	j := Job{At: time.Duration(b.AtNs), Class: b.Class, Service: b.Service, Tenant: b.Tenant, Cores: b.Cores,
		Memory: b.Memory, Life: time.Duration(b.LifeNs), CutOff: b.CutOff, Outcome: b.Outcome}
	if j.At < 0 || j.Life < 0 || !(j.Cores >= 0) || !(j.Memory >= 0) || math.IsInf(j.Cores, 0) ||
		math.IsInf(j.Memory, 0) {
		return j, fmt.Errorf("load: a job at %v has a negative or senseless figure", j.At)
	}
	return j, nil
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
}

// The fields of the Standard Workload Format, version 2.2 of the Parallel Workloads Archive, counted from 0.
const (
	swfSubmit = 1
	swfRun    = 3
	swfProcs  = 4
	swfAsked  = 7
	swfMemory = 9 // asked, KiB for each processor
	swfStatus = 10
	swfUser   = 11
	swfApp    = 13
	swfFields = 18
)

// ReadSWF imports a log of the Standard Workload Format. Jobs become jobs of the class; the application is the service,
// the user the tenant. Jobs without a submission time or processors are left out and counted.
func ReadSWF(r io.Reader, class string) (t *Trace, left int, err error) {
	t = &Trace{Source: "swf"}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<16)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		if strings.HasPrefix(line, ";") {
			if _, v, ok := strings.Cut(line, "UnixStartTime:"); ok {
				if s, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64); err == nil {
					t.Start = time.Unix(s, 0)
				}
			}
			continue
		}
		words := strings.Fields(line)
		if len(words) != swfFields {
			return nil, 0, fmt.Errorf("load: line %d has %d fields, expected %d", n, len(words), swfFields)
		}
		var f [swfFields]float64
		for i, w := range words {
			if f[i], err = strconv.ParseFloat(w, 64); err != nil || math.IsNaN(f[i]) || math.Abs(f[i]) > 1e12 {
				return nil, 0, fmt.Errorf("load: line %d, field %d: %q is not a number that can be used", n, i+1, w)
			}
		}
		cores := f[swfProcs]
		if cores <= 0 {
			cores = f[swfAsked]
		}
		if f[swfSubmit] < 0 || cores <= 0 {
			left++
			continue
		}
		j := Job{At: time.Duration(f[swfSubmit] * 1e9), Class: class, Service: fmt.Sprintf("app-%.0f", f[swfApp]),
			Tenant: fmt.Sprintf("user-%.0f", f[swfUser]), Cores: cores}
		if f[swfApp] < 0 {
			j.Service = ""
		}
		if f[swfUser] < 0 {
			j.Tenant = ""
		}
		if f[swfRun] >= 0 {
			j.Life = time.Duration(f[swfRun] * 1e9)
		} else {
			j.CutOff = true
		}
		if f[swfMemory] > 0 {
			j.Memory = f[swfMemory] * cores / (1 << 20)
		}
		if f[swfStatus] == 5 { // cancelled
			j.CutOff = true
		}
		t.Jobs = append(t.Jobs, j)
	}
	if err := lines.Err(); err != nil {
		return nil, 0, fmt.Errorf("load: read log: %w", err)
	}
	t.sort()
	return t, left, nil
}
