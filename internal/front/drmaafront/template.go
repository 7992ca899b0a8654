package drmaafront

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

const (
	kibPerGiB       = 1 << 20 // DRMAA has memory in KiB, the core in GiB
	maxCommandBytes = 4096
	maxArgs         = 1000
)

// Reasons why attributes of the DRMAA specification are not supported.
const (
	reasonNoProcesses = "stand-in nodes run no processes"
	reasonNoMail      = "no mail is sent"
	reasonNoStaging   = "no files are staged"
)

// jobSpec validates a job template and converts it to the spec of the job for the core.
func (f *Frontend) jobSpec(template *drmaa2.JobTemplate) (*scheduler.JobSpec, *drmaa2.Error) {
	for _, check := range []func(*drmaa2.JobTemplate) *drmaa2.Error{checkUnsupported, checkLengths, checkNULs,
		checkQueue, checkSlots} {
		if err := check(template); err != nil {
			return nil, err
		}
	}
	spec := &scheduler.JobSpec{Name: template.JobName, Tenant: -1, Rerunnable: template.Rerunnable,
		Hold: template.SubmitAsHold}
	if err := f.setClass(spec, template); err != nil {
		return nil, err
	}
	if err := f.setTenant(spec, template); err != nil {
		return nil, err
	}
	if template.MinSlots > 0 {
		spec.Cores = float64(template.MinSlots)
	}
	if template.MinPhysMemory > 0 {
		spec.Memory = float64(template.MinPhysMemory) / kibPerGiB
	}
	if err := setImplementationSpecific(spec, template); err != nil {
		return nil, err
	}
	if template.StartTime != nil {
		spec.NotBefore = time.Duration(template.StartTime.UnixNano())
	}
	if template.DeadlineTime != nil {
		spec.Deadline = time.Duration(template.DeadlineTime.UnixNano())
	}
	return spec, nil
}

// checkUnsupported rejects attributes of the DRMAA specification that this scheduler does not support.
func checkUnsupported(t *drmaa2.JobTemplate) *drmaa2.Error {
	for _, attribute := range []struct {
		name   string
		isSet  bool
		reason string
	}{
		{"jobEnvironment", len(t.JobEnvironment) > 0, reasonNoProcesses},
		{"workingDirectory", t.WorkingDirectory != "", reasonNoProcesses},
		{"email", len(t.Email) > 0, reasonNoMail},
		{"emailOnStarted", t.EmailOnStarted, reasonNoMail},
		{"emailOnTerminated", t.EmailOnTerminated, reasonNoMail},
		{"inputPath", t.InputPath != "", reasonNoProcesses},
		{"outputPath", t.OutputPath != "", reasonNoProcesses},
		{"errorPath", t.ErrorPath != "", reasonNoProcesses},
		{"joinFiles", t.JoinFiles, reasonNoProcesses},
		{"reservationId", t.ReservationID != "", "nothing is reserved ahead of time"},
		{"priority", t.Priority != 0, "the class gives the priority"},
		{"candidateMachines", len(t.CandidateMachines) > 0, "the scheduler chooses among all nodes"},
		{"machineOS", t.MachineOS != "", "nodes don't tell their system"},
		{"machineArch", t.MachineArch != "", "nodes don't tell their architecture"},
		{"stageInFiles", len(t.StageInFiles) > 0, reasonNoStaging},
		{"stageOutFiles", len(t.StageOutFiles) > 0, reasonNoStaging},
		{"resourceLimits", len(t.ResourceLimits) > 0, reasonNoProcesses},
	} {
		if attribute.isSet {
			return unsupportedAttribute(attribute.name, attribute.reason)
		}
	}
	return nil
}

func checkLengths(t *drmaa2.JobTemplate) *drmaa2.Error {
	switch {
	case t.RemoteCommand == "":
		return invalidArgument("remoteCommand", "is missing")
	case len(t.RemoteCommand) > maxCommandBytes:
		return invalidArgument("remoteCommand", fmt.Sprintf("over %d bytes", maxCommandBytes))
	case len(t.Args) > maxArgs:
		return invalidArgument("args", fmt.Sprintf("%d of them, %d at most", len(t.Args), maxArgs))
	case len(t.JobName) > maxNameBytes:
		return invalidArgument("jobName", fmt.Sprintf("over %d bytes", maxNameBytes))
	}
	return nil
}

func checkNULs(t *drmaa2.JobTemplate) *drmaa2.Error {
	switch {
	case hasNUL(t.RemoteCommand):
		return invalidArgument("remoteCommand", "has a NUL, which no command can")
	case slices.ContainsFunc(t.Args, hasNUL):
		return invalidArgument("args", "have a NUL, which no argument can")
	case hasNUL(t.JobName):
		return invalidArgument("jobName", "has a NUL")
	}
	return nil
}

func hasNUL(text string) bool { return strings.IndexByte(text, 0) >= 0 }

func checkQueue(t *drmaa2.JobTemplate) *drmaa2.Error {
	if t.QueueName != "" && t.QueueName != defaultQueue {
		return invalidArgument("queueName", fmt.Sprintf("no queue %q; there is %q", truncate(t.QueueName), defaultQueue))
	}
	return nil
}

func checkSlots(t *drmaa2.JobTemplate) *drmaa2.Error {
	if t.MinSlots < 0 || t.MaxSlots < 0 || t.MinPhysMemory < 0 {
		return invalidArgument("minSlots", "minSlots, maxSlots and minPhysMemory can't be negative")
	}
	if t.MaxSlots > 0 && t.MaxSlots != t.MinSlots {
		return unsupportedAttribute("maxSlots", "a job asks for one number of cores; leave it out or set it to minSlots")
	}
	return nil
}

// setClass sets the class of a job, and its priority, cores and memory to the defaults of the class. A template may omit the
// class if the scheduler has only one.
func (f *Frontend) setClass(spec *scheduler.JobSpec, template *drmaa2.JobTemplate) *drmaa2.Error {
	spec.Class = f.settings.ClassIndex(template.JobCategory)
	if spec.Class < 0 {
		if template.JobCategory != "" || len(f.settings.Classes) > 1 {
			return invalidArgument("jobCategory",
				fmt.Sprintf("no class %q; there are %s", truncate(template.JobCategory), f.classNames()))
		}
		spec.Class = 0
	}
	class := &f.settings.Classes[spec.Class]
	spec.Priority, spec.Cores, spec.Memory = class.Priority, class.Cores, class.Memory
	return nil
}

func (f *Frontend) classNames() string {
	names := make([]string, len(f.settings.Classes))
	for i := range f.settings.Classes {
		names[i] = f.settings.Classes[i].Name
	}
	return strings.Join(names, ", ")
}

func (f *Frontend) setTenant(spec *scheduler.JobSpec, template *drmaa2.JobTemplate) *drmaa2.Error {
	if template.AccountingID == "" {
		return nil
	}
	spec.Tenant = f.settings.TenantIndex(template.AccountingID)
	if spec.Tenant < 0 {
		return invalidArgument("accountingId", fmt.Sprintf("no tenant %q", truncate(template.AccountingID)))
	}
	return nil
}
