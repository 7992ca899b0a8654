package drmaa2

import (
	"context"
	"net/http"
	"slices"
)

// MonitoringSession reads all jobs, machines and queues, GFD.194 section 8.9. It needs no closing.
type MonitoringSession struct{ client *Client }

// OpenMonitoringSession opens a monitoring session, if the scheduler is reached.
func (c *Client) OpenMonitoringSession(ctx context.Context) (*MonitoringSession, error) {
	_, err := c.Drms(ctx)
	return &MonitoringSession{c}, err
}

// AllJobs lists the jobs of all sessions that match the filter; see JobSession.Jobs.
func (m *MonitoringSession) AllJobs(ctx context.Context, filter *JobInfo) ([]JobInfo, error) {
	return m.client.listJobs(ctx, "/jobs", filter)
}

// Watch is JobSession.Watch of the jobs of all sessions.
func (m *MonitoringSession) Watch(ctx context.Context, handle func(JobInfo) bool) error {
	return m.client.watch(ctx, eventsPath, handle)
}

// AllMachines lists the named nodes, or all where none is named. Names that the scheduler does not know are left out.
func (m *MonitoringSession) AllMachines(ctx context.Context, names ...string) ([]MachineInfo, error) {
	var list struct {
		Machines []MachineInfo `json:"machines"`
	}
	err := m.client.call(ctx, http.MethodGet, "/machines", nil, &list)
	return named(list.Machines, names, func(machine MachineInfo) string { return machine.Name }), err
}

// AllQueues lists the named queues, or all where none is named. Names that the scheduler does not know are left out.
func (m *MonitoringSession) AllQueues(ctx context.Context, names ...string) ([]QueueInfo, error) {
	var list struct {
		Queues []QueueInfo `json:"queues"`
	}
	err := m.client.call(ctx, http.MethodGet, "/queues", nil, &list)
	return named(list.Queues, names, func(queue QueueInfo) string { return queue.Name }), err
}

// named returns the elements that have one of the names; all where there are no names.
func named[T any](elements []T, names []string, name func(T) string) []T {
	if len(names) == 0 {
		return elements
	}
	return slices.DeleteFunc(elements, func(element T) bool { return !slices.Contains(names, name(element)) })
}

// AllReservations is ErrUnsupportedOperation: the scheduler makes no advance reservations.
func (m *MonitoringSession) AllReservations(context.Context) error {
	return &Error{Code: UnsupportedOperation, Message: "advance reservations are not supported"}
}
