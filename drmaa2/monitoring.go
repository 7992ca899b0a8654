package drmaa2

import (
	"context"
	"net/http"
)

// MonitoringSession gives read access to all jobs, machines and queues of the scheduler, GFD.194 section 8.9. It need not be
// closed.
type MonitoringSession struct{ client *Client }

// OpenMonitoringSession opens a monitoring session. The error is ErrDrmCommunication if the scheduler can't be reached.
func (c *Client) OpenMonitoringSession(ctx context.Context) (*MonitoringSession, error) {
	_, err := c.Drms(ctx)
	return &MonitoringSession{c}, err
}

// AllJobs returns the information on the jobs of all sessions that match the filter; see JobSession.Jobs.
func (m *MonitoringSession) AllJobs(ctx context.Context, filter *JobInfo) ([]JobInfo, error) {
	return m.client.listJobs(ctx, "/jobs", filter)
}

// Watch is like JobSession.Watch, for the jobs of all sessions.
func (m *MonitoringSession) Watch(ctx context.Context, handle func(JobInfo) bool) error {
	return m.client.watch(ctx, eventsPath, handle)
}

// AllMachines returns the nodes with the given names, or all nodes if no names are given. Unknown names are ignored.
func (m *MonitoringSession) AllMachines(ctx context.Context, names ...string) ([]MachineInfo, error) {
	var list struct {
		Machines []MachineInfo `json:"machines"`
	}
	if err := m.client.call(ctx, http.MethodGet, "/machines", nil, &list); err != nil {
		return list.Machines, err
	}
	return filterByName(list.Machines, names, func(machine MachineInfo) string { return machine.Name }), nil
}

// AllQueues returns the queues with the given names, or all queues if no names are given. Unknown names are ignored.
func (m *MonitoringSession) AllQueues(ctx context.Context, names ...string) ([]QueueInfo, error) {
	var list struct {
		Queues []QueueInfo `json:"queues"`
	}
	if err := m.client.call(ctx, http.MethodGet, "/queues", nil, &list); err != nil {
		return list.Queues, err
	}
	return filterByName(list.Queues, names, func(queue QueueInfo) string { return queue.Name }), nil
}

// filterByName returns the elements whose name is in wantedNames, once for each time that the name occurs there. An empty
// wantedNames selects all elements.
func filterByName[T any](elements []T, wantedNames []string, nameOf func(T) string) []T {
	if len(wantedNames) == 0 {
		return elements
	}
	var found []T
	for _, element := range elements {
		for _, wanted := range wantedNames {
			if wanted == nameOf(element) {
				found = append(found, element)
			}
		}
	}
	return found
}

// AllReservations returns ErrUnsupportedOperation, because the scheduler has no advance reservations.
func (m *MonitoringSession) AllReservations(context.Context) error {
	return &Error{Code: UnsupportedOperation, Message: "advance reservations are not supported"}
}
