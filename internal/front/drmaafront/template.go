package drmaafront

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

const (
	gibInKiB    = 1 << 20
	longestText = 4096
	longestKey  = 256
	mostArgs    = 1000
)

// decode reads one JSON value and nothing else. Nothing is accepted and ignored: unknown fields, names that come twice
// and text that is not UTF-8 are errors, and the error names the attribute. The reader is that of encoding/json/v2 by
// its module, which is strict in all of this; docs/scale.md has the figures of those that were weighed.
func decode(body []byte, into any) *drmaa2.Error {
	err := json.Unmarshal(body, into, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	e := &drmaa2.Error{Code: drmaa2.InvalidArgument}
	var wrong *json.SemanticError
	var text *jsontext.SyntacticError
	switch {
	case len(bytes.TrimSpace(body)) == 0:
		e.Message = "the body is empty"
	case errors.Is(err, json.ErrUnknownName) && errors.As(err, &wrong):
		e.Code, e.Attribute = drmaa2.UnsupportedAttribute, attribute(wrong.JSONPointer)
		e.Message = e.Attribute + ": is not known"
	case errors.Is(err, jsontext.ErrDuplicateName) && errors.As(err, &text):
		e.Attribute = attribute(text.JSONPointer)
		e.Message = e.Attribute + ": comes twice"
	case errors.As(err, &wrong) && wrong.JSONPointer != "":
		e.Attribute = attribute(wrong.JSONPointer)
		e.Message = e.Attribute + ": can't be read"
		if wrong.GoType != nil {
			e.Message += " as " + wanted(wrong.GoType)
		}
	default:
		e.Message = "the body can't be read: " + strings.TrimPrefix(err.Error(), "jsontext: ")
	}
	return e
}

// attribute is where a value stands, as in template.startTime.
func attribute(at jsontext.Pointer) string {
	return clip(strings.Join(slices.Collect(at.Tokens()), "."))
}

// wanted is a type in the words of those who write templates.
func wanted(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a time, as 2027-01-15T08:00:00Z"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Map || t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func invalid(attribute, message string) *drmaa2.Error {
	if attribute != "" {
		message = attribute + ": " + message
	}
	return &drmaa2.Error{Code: drmaa2.InvalidArgument, Attribute: attribute, Message: message}
}

// refused names the attributes of the specification that this scheduler does not act on, with the reason.
func refused(t *drmaa2.JobTemplate) *drmaa2.Error {
	for _, a := range []struct {
		name string
		set  bool
		why  string
	}{
		{"jobEnvironment", len(t.JobEnvironment) > 0, "stand-in nodes run no processes"},
		{"workingDirectory", t.WorkingDirectory != "", "stand-in nodes run no processes"},
		{"email", len(t.Email) > 0, "no mail is sent"},
		{"emailOnStarted", t.EmailOnStarted, "no mail is sent"},
		{"emailOnTerminated", t.EmailOnTerminated, "no mail is sent"},
		{"inputPath", t.InputPath != "", "stand-in nodes run no processes"},
		{"outputPath", t.OutputPath != "", "stand-in nodes run no processes"},
		{"errorPath", t.ErrorPath != "", "stand-in nodes run no processes"},
		{"joinFiles", t.JoinFiles, "stand-in nodes run no processes"},
		{"reservationId", t.ReservationID != "", "nothing is reserved ahead of time"},
		{"priority", t.Priority != 0, "the class gives the priority"},
		{"candidateMachines", len(t.CandidateMachines) > 0, "the scheduler chooses among all nodes"},
		{"machineOS", t.MachineOS != "", "nodes don't tell their system"},
		{"machineArch", t.MachineArch != "", "nodes don't tell their architecture"},
		{"stageInFiles", len(t.StageInFiles) > 0, "no files are staged"},
		{"stageOutFiles", len(t.StageOutFiles) > 0, "no files are staged"},
		{"resourceLimits", len(t.ResourceLimits) > 0, "stand-in nodes run no processes"},
	} {
		if a.set {
			return &drmaa2.Error{Code: drmaa2.UnsupportedAttribute, Attribute: a.name, Message: a.name + ": " + a.why}
		}
	}
	return nil
}

// spec checks a template and turns it into what the core takes.
func (f *Front) spec(t *drmaa2.JobTemplate) (*scheduler.Spec, *drmaa2.Error) {
	if err := refused(t); err != nil {
		return nil, err
	}
	s := &scheduler.Spec{Name: t.JobName, Tenant: -1, Rerunnable: t.Rerunnable, Hold: t.SubmitAsHold}
	switch {
	case t.RemoteCommand == "":
		return nil, invalid("remoteCommand", "is missing")
	case len(t.RemoteCommand) > longestText:
		return nil, invalid("remoteCommand", fmt.Sprintf("over %d bytes", longestText))
	case len(t.Args) > mostArgs:
		return nil, invalid("args", fmt.Sprintf("%d of them, %d at most", len(t.Args), mostArgs))
	case len(t.JobName) > longestName:
		return nil, invalid("jobName", fmt.Sprintf("over %d bytes", longestName))
	case hasNUL(t.RemoteCommand):
		return nil, invalid("remoteCommand", "has a NUL, which no command can")
	case slices.ContainsFunc(t.Args, hasNUL):
		return nil, invalid("args", "have a NUL, which no argument can")
	case hasNUL(t.JobName):
		return nil, invalid("jobName", "has a NUL")
	case t.QueueName != "" && t.QueueName != queue:
		return nil, invalid("queueName", fmt.Sprintf("no queue %q; there is %q", clip(t.QueueName), queue))
	case t.MinSlots < 0 || t.MaxSlots < 0 || t.MinPhysMemory < 0:
		return nil, invalid("minSlots", "minSlots, maxSlots and minPhysMemory can't be negative")
	case t.MaxSlots > 0 && t.MaxSlots != t.MinSlots:
		return nil, &drmaa2.Error{Code: drmaa2.UnsupportedAttribute, Attribute: "maxSlots",
			Message: "maxSlots: a job asks for one number of cores; leave it out or set it to minSlots"}
	}
	if s.Class = f.set.ClassIndex(t.JobCategory); s.Class < 0 {
		if t.JobCategory != "" || len(f.set.Classes) > 1 {
			return nil, invalid("jobCategory", fmt.Sprintf("no class %q; there are %s", clip(t.JobCategory),
				f.classNames()))
		}
		s.Class = 0
	}
	class := f.set.Classes[s.Class]
	s.Priority = class.Priority
	if t.AccountingID != "" {
		if s.Tenant = f.set.TenantIndex(t.AccountingID); s.Tenant < 0 {
			return nil, invalid("accountingId", fmt.Sprintf("no tenant %q", clip(t.AccountingID)))
		}
	}
	s.Cores, s.Memory = class.Cores, class.Memory
	if t.MinSlots > 0 {
		s.Cores = float64(t.MinSlots)
	}
	if t.MinPhysMemory > 0 {
		s.Memory = float64(t.MinPhysMemory) / gibInKiB
	}
	if err := f.own(s, t); err != nil {
		return nil, err
	}
	if t.StartTime != nil {
		s.NotBefore = time.Duration(t.StartTime.UnixNano())
	}
	if t.DeadlineTime != nil {
		s.Deadline = time.Duration(t.DeadlineTime.UnixNano())
	}
	return s, nil
}

func hasNUL(s string) bool { return strings.IndexByte(s, 0) >= 0 }

func (f *Front) classNames() string {
	names := make([]string, len(f.set.Classes))
	for i, c := range f.set.Classes {
		names[i] = c.Name
	}
	return strings.Join(names, ", ")
}

// own reads the implementation-specific attributes.
func (f *Front) own(s *scheduler.Spec, t *drmaa2.JobTemplate) *drmaa2.Error {
	for name, value := range t.ImplementationSpecific {
		var err *drmaa2.Error
		switch name {
		case drmaa2.AttrService:
			s.Service, err = text(name, value)
		case drmaa2.AttrKey:
			s.Key, err = text(name, value)
		case drmaa2.AttrCores:
			s.Cores, err = amount(name, value, t.MinSlots > 0)
		case drmaa2.AttrMemory:
			s.Memory, err = amount(name, value, t.MinPhysMemory > 0)
		case drmaa2.AttrExpectedRuntime:
			s.ExpectedRuntime, err = duration(name, value)
		case drmaa2.AttrGiveUp:
			s.PlacementTimeout, err = duration(name, value)
		default:
			err = &drmaa2.Error{Code: drmaa2.UnsupportedAttribute, Attribute: clip(name),
				Message: clip(name) + ": is not known"}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func text(name, value string) (string, *drmaa2.Error) {
	if value == "" || len(value) > longestKey || strings.ContainsFunc(value,
		func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return "", invalid(name, fmt.Sprintf("expected 1 to %d bytes without spaces", longestKey))
	}
	return value, nil
}

func amount(name, value string, also bool) (float64, *drmaa2.Error) {
	x, err := strconv.ParseFloat(value, 64)
	switch {
	case also:
		return 0, invalid(name, "is given twice, by the specification's attribute too")
	case err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x <= 0 || x > 1e9:
		return 0, invalid(name, "expected a number above 0")
	}
	return x, nil
}

func duration(name, value string) (time.Duration, *drmaa2.Error) {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, invalid(name, "expected a duration above 0, as 90s")
	}
	return d, nil
}
