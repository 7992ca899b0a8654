package drmaafront

import (
	"math"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// machineStates has the value of drmaa2.AttrMachineState for each state of a machine.
var machineStates = []string{flaxshelf.Active: "in", flaxshelf.Draining: "draining", flaxshelf.Removed: "out"}

// machineInfo returns the DRMAA description of a machine. A machine whose kind is unknown has no cores and no memory in it.
func (f *Frontend) machineInfo(machine *scheduler.MachineInfo) drmaa2.MachineInfo {
	info := drmaa2.MachineInfo{
		Name:      machine.ID,
		Available: machine.Connected && machine.State == flaxshelf.Active,
		ImplementationSpecific: map[string]string{
			drmaa2.AttrZone:         machine.Zone,
			drmaa2.AttrCell:         strconv.Itoa(machine.Cell),
			drmaa2.AttrMachineState: machineStates[machine.State],
			drmaa2.AttrJobs:         strconv.Itoa(machine.Jobs),
		},
	}
	if machine.Kind >= 0 && machine.Kind < len(f.settings.Kinds) {
		kind := f.settings.Kinds[machine.Kind]
		info.ImplementationSpecific[drmaa2.AttrKind] = kind.Name
		info.Sockets, info.CoresPerSocket, info.PhysMemory = 1, int64(kind.Cores), int64(kind.Memory*kibPerGiB)
	}
	return info
}

// jobInfo returns the DRMAA description of a job.
func (f *Frontend) jobInfo(info *scheduler.JobInfo) drmaa2.JobInfo {
	job := drmaa2.JobInfo{
		JobID:                  info.ID,
		JobName:                info.Spec.Name,
		Annotation:             info.Reason,
		JobState:               drmaa2.JobState(info.State),
		JobSubState:            info.SubState,
		SubmissionMachine:      f.settings.Name,
		JobOwner:               info.Spec.Owner,
		Slots:                  slotCount(info.Spec.Cores),
		QueueName:              defaultQueue,
		SubmissionTime:         clock.WallTime(info.SubmittedAt).UTC(),
		TerminatingSignal:      info.Signal,
		ImplementationSpecific: f.jobAttributes(info),
	}
	if info.SubState == scheduler.SubStateExited {
		exitStatus := info.ExitStatus
		job.ExitStatus = &exitStatus
	}
	if info.StartedAt > 0 {
		started := clock.WallTime(info.StartedAt).UTC()
		job.DispatchTime = &started
		if info.Node != "" {
			job.AllocatedMachines = []drmaa2.SlotInfo{{MachineName: info.Node, Slots: job.Slots}}
		}
	}
	if info.FinishedAt > 0 {
		finished := clock.WallTime(info.FinishedAt).UTC()
		job.FinishTime = &finished
		if info.StartedAt > 0 {
			job.WallclockTime = (info.FinishedAt - info.StartedAt).Seconds()
		}
	}
	return job
}

// jobAttributes returns the implementation-specific attributes of a job. Optional attributes without a value are omitted.
func (f *Frontend) jobAttributes(info *scheduler.JobInfo) map[string]string {
	spec := info.Spec
	attributes := map[string]string{
		drmaa2.AttrPlacementRequests: strconv.Itoa(info.PlacementRequest),
		drmaa2.AttrAttempts:          strconv.Itoa(info.Attempts),
		drmaa2.AttrRevision:          strconv.FormatUint(info.Revision, 10),
		drmaa2.AttrCores:             strconv.FormatFloat(spec.Cores, 'g', -1, 64),
		drmaa2.AttrMemory:            strconv.FormatFloat(spec.Memory, 'g', -1, 64),
	}
	setIfNotEmpty(attributes, drmaa2.AttrOutcome, string(info.Outcome))
	setIfNotEmpty(attributes, drmaa2.AttrNode, info.Node)
	setIfNotEmpty(attributes, drmaa2.AttrArray, info.ArrayID)
	setIfNotEmpty(attributes, drmaa2.AttrKey, spec.Key)
	setIfNotEmpty(attributes, drmaa2.AttrService, spec.Service)
	setIfNotEmpty(attributes, drmaa2.AttrClass, f.settings.Classes[spec.Class].Name)
	if spec.Tenant >= 0 {
		setIfNotEmpty(attributes, drmaa2.AttrTenant, f.settings.Tenants[spec.Tenant].Name)
	}
	if info.ArrayID != "" {
		attributes[drmaa2.AttrIndex] = strconv.Itoa(info.ArrayIndex)
	}
	if info.RequestedAt > 0 {
		attributes[drmaa2.AttrRequestedAt] = formatTime(info.RequestedAt)
	}
	if info.PlacementDeadline > 0 {
		attributes[drmaa2.AttrPlacementDeadline] = formatTime(info.PlacementDeadline)
	}
	return attributes
}

func setIfNotEmpty(attributes map[string]string, name, value string) {
	if value != "" {
		attributes[name] = value
	}
}

func formatTime(at scheduler.Time) string { return clock.WallTime(at).UTC().Format(time.RFC3339Nano) }

// slotCount converts a number of cores to DRMAA slots, which are whole numbers, by rounding up.
func slotCount(cores float64) int64 { return int64(math.Ceil(cores)) }
