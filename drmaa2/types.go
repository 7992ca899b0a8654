package drmaa2

import "time"

// JobState is the state of a job, GFD.194 section 7.1.
type JobState string

// States of a job.
const (
	Undetermined JobState = "UNDETERMINED"  // the state could not be read
	Queued       JobState = "QUEUED"        // not started yet
	QueuedHeld   JobState = "QUEUED_HELD"   // not started yet, and on hold
	Running      JobState = "RUNNING"       // running on a node
	Suspended    JobState = "SUSPENDED"     // does not occur: nodes can't suspend jobs
	Requeued     JobState = "REQUEUED"      // waits to be restarted
	RequeuedHeld JobState = "REQUEUED_HELD" // waits to be restarted, and on hold
	Done         JobState = "DONE"          // ended with exit status 0
	Failed       JobState = "FAILED"        // ended otherwise; see JobInfo.JobSubState
)

// Constants of GFD.194 for timeouts and templates.
const (
	// InfiniteTime as a timeout means no limit.
	InfiniteTime = time.Duration(1<<63 - 1)
	// ZeroTime is a timeout that expires at once.
	ZeroTime = time.Duration(0)
	// HomeDirectory is a placeholder in paths of a template, GFD.194 section 5.6.
	HomeDirectory = "$DRMAA2_HOME_DIR$"
)

// Started reports whether a job in this state is running or has ended, which is what WaitStarted waits for.
func (s JobState) Started() bool { return s == Running || s == Suspended || s.Terminated() }

// Terminated reports whether a job in this state has ended.
func (s JobState) Terminated() bool { return s == Done || s == Failed }

// Implementation-specific attributes of a JobTemplate, all optional. Their values are text.
const (
	AttrService          = "flaxshelf.service" // service; its jobs are spread over machines, and nodes cache its program
	AttrKey              = "flaxshelf.key"     // idempotency key; submissions with the same key create the job once
	AttrCores            = "flaxshelf.cores"   // number of cores requested, a decimal number; used in place of MinSlots
	AttrMemory           = "flaxshelf.memory"  // memory requested in GiB, a decimal number; used in place of MinPhysMemory
	AttrExpectedRuntime  = "flaxshelf.life"    // expected runtime, a Go duration such as 1m30s
	AttrPlacementTimeout = "flaxshelf.giveup"  // time within which the job must start, a Go duration
)

// Implementation-specific attributes of a JobInfo.
const (
	AttrOutcome           = "flaxshelf.outcome"  // placed, refused (rejected), failed or withdrawn (canceled)
	AttrPlacementRequests = "flaxshelf.ask"      // number of placement requests so far
	AttrAttempts          = "flaxshelf.attempts" // number of offers to nodes for the last placement request
	AttrNode              = "flaxshelf.node"     // name of the node that runs the job or has its pending offer
	AttrArray             = "flaxshelf.array"    // ID of the array that the job belongs to
	AttrIndex             = "flaxshelf.index"    // the job's index in its array
	AttrRequestedAt       = "flaxshelf.asked"    // start of the last placement request, RFC 3339
	AttrPlacementDeadline = "flaxshelf.due"      // deadline of the last placement request, RFC 3339
	AttrClass             = "flaxshelf.class"    // JobCategory of the template
	AttrTenant            = "flaxshelf.tenant"   // AccountingID of the template
	AttrRevision          = "flaxshelf.revision" // revision of the job, which increases with each change
)

// JobTemplate describes a job to submit, GFD.194 section 5.5. The zero value of an attribute means that it is not set.
// docs/drmaa.md lists the supported attributes; a submission that sets another one fails with ErrUnsupportedAttribute.
type JobTemplate struct {
	RemoteCommand     string            `json:"remoteCommand,omitempty"`
	Args              []string          `json:"args,omitempty"`
	SubmitAsHold      bool              `json:"submitAsHold,omitempty"`
	Rerunnable        bool              `json:"rerunnable,omitempty"`
	JobEnvironment    map[string]string `json:"jobEnvironment,omitempty"`
	WorkingDirectory  string            `json:"workingDirectory,omitempty"`
	JobCategory       string            `json:"jobCategory,omitempty"` // name of the class
	Email             []string          `json:"email,omitempty"`
	EmailOnStarted    bool              `json:"emailOnStarted,omitempty"`
	EmailOnTerminated bool              `json:"emailOnTerminated,omitempty"`
	JobName           string            `json:"jobName,omitempty"`
	InputPath         string            `json:"inputPath,omitempty"`
	OutputPath        string            `json:"outputPath,omitempty"`
	ErrorPath         string            `json:"errorPath,omitempty"`
	JoinFiles         bool              `json:"joinFiles,omitempty"`
	ReservationID     string            `json:"reservationId,omitempty"`
	QueueName         string            `json:"queueName,omitempty"`
	MinSlots          int64             `json:"minSlots,omitempty"` // number of cores requested
	MaxSlots          int64             `json:"maxSlots,omitempty"`
	Priority          int64             `json:"priority,omitempty"`
	CandidateMachines []string          `json:"candidateMachines,omitempty"`
	MinPhysMemory     int64             `json:"minPhysMemory,omitempty"` // memory requested in KiB
	MachineOS         string            `json:"machineOS,omitempty"`
	MachineArch       string            `json:"machineArch,omitempty"`
	StartTime         *time.Time        `json:"startTime,omitempty"`
	DeadlineTime      *time.Time        `json:"deadlineTime,omitempty"`
	StageInFiles      map[string]string `json:"stageInFiles,omitempty"`
	StageOutFiles     map[string]string `json:"stageOutFiles,omitempty"`
	ResourceLimits    map[string]string `json:"resourceLimits,omitempty"`
	AccountingID      string            `json:"accountingId,omitempty"` // name of the tenant

	ImplementationSpecific map[string]string `json:"implementationSpecific,omitempty"`
}

// JobInfo is the information on a job at one point in time, GFD.194 section 5.4. A pointer is nil if the value is not known.
type JobInfo struct {
	JobID             string     `json:"jobId"`
	JobName           string     `json:"jobName,omitempty"`
	ExitStatus        *int       `json:"exitStatus,omitempty"`
	TerminatingSignal string     `json:"terminatingSignal,omitempty"`
	Annotation        string     `json:"annotation,omitempty"`
	JobState          JobState   `json:"jobState"`
	JobSubState       string     `json:"jobSubState,omitempty"`
	AllocatedMachines []SlotInfo `json:"allocatedMachines,omitempty"`
	SubmissionMachine string     `json:"submissionMachine,omitempty"`
	JobOwner          string     `json:"jobOwner,omitempty"`
	Slots             int64      `json:"slots,omitempty"`
	QueueName         string     `json:"queueName,omitempty"`
	WallclockTime     float64    `json:"wallclockTime,omitempty"` // seconds
	CPUTime           *int64     `json:"cpuTime,omitempty"`       // seconds; always nil, because nodes don't report it
	SubmissionTime    time.Time  `json:"submissionTime"`
	DispatchTime      *time.Time `json:"dispatchTime,omitempty"`
	FinishTime        *time.Time `json:"finishTime,omitempty"`

	ImplementationSpecific map[string]string `json:"implementationSpecific,omitempty"`
}

// SlotInfo is a machine on which a job runs, GFD.194 section 5.2.
type SlotInfo struct {
	MachineName string `json:"machineName"`
	Slots       int64  `json:"slots,omitempty"`
}

// MachineInfo is a node as the scheduler sees it, GFD.194 section 5.8.
type MachineInfo struct {
	Name           string  `json:"name"`
	Available      bool    `json:"available"`
	Sockets        int64   `json:"sockets,omitempty"`
	CoresPerSocket int64   `json:"coresPerSocket,omitempty"`
	Load           float64 `json:"load,omitempty"`
	PhysMemory     int64   `json:"physMemory,omitempty"` // KiB
	MachineOS      string  `json:"machineOS,omitempty"`
	MachineArch    string  `json:"machineArch,omitempty"`

	ImplementationSpecific map[string]string `json:"implementationSpecific,omitempty"`
}

// Implementation-specific attributes of a MachineInfo.
const (
	AttrKind         = "flaxshelf.kind"     // name of the kind of machine
	AttrZone         = "flaxshelf.zone"     // name of the zone, the larger of the two topology domains
	AttrCell         = "flaxshelf.cell"     // number of the cell within the zone
	AttrMachineState = "flaxshelf.standing" // state in the inventory: in (active), draining or out (removed)
	AttrJobs         = "flaxshelf.jobs"     // number of this scheduler's jobs on the node
)

// QueueInfo is a queue, GFD.194 section 5.7.
type QueueInfo struct {
	Name string `json:"name"`
}

// Version is a version number, GFD.194 section 5.3.
type Version struct {
	Major string `json:"major"`
	Minor string `json:"minor"`
}

// Drms describes the scheduler and its capabilities, GFD.194 section 8.1.
type Drms struct {
	DrmsName     string   `json:"drmsName"`
	DrmsVersion  Version  `json:"drmsVersion"`
	DrmaaName    string   `json:"drmaaName"`
	DrmaaVersion Version  `json:"drmaaVersion"`
	Capabilities []string `json:"capabilities"`
	JobTemplate  []string `json:"jobTemplateImplementationSpec"`
	JobInfo      []string `json:"jobInfoImplementationSpec"`
	Categories   []string `json:"jobCategories"`
	Machine      string   `json:"machine"`
}

// Submission is the body of a request to run a job or, if Bulk is set, a job array. It is part of the wire protocol.
type Submission struct {
	Template JobTemplate `json:"template"`
	Again    bool        `json:"again,omitempty"` // the submission repeats an earlier one whose outcome is not known
	Bulk     *Bulk       `json:"bulk,omitempty"`
}

// Bulk is the range of indexes of a job array, GFD.194 section 8.3.7.
type Bulk struct {
	BeginIndex  int `json:"beginIndex"`
	EndIndex    int `json:"endIndex"`
	Step        int `json:"step"`
	MaxParallel int `json:"maxParallel,omitempty"` // number of jobs that may run at a time; zero means no limit
}

// Submitted is the response to a Submission and to a request for a list of jobs. It is part of the wire protocol.
type Submitted struct {
	ArrayID  string    `json:"arrayId,omitempty"`
	Existing bool      `json:"existing,omitempty"` // the idempotency key was used before; Jobs are the jobs of that submission
	Jobs     []JobInfo `json:"jobs"`
}
