package main

import (
	"context"
	"fmt"
	"strconv"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// kibibytesPerGibibyte converts MachineInfo.PhysMemory to GiB.
const kibibytesPerGibibyte = 1 << 20

type machinesCmd struct{ serverFlag }

// Run prints a table of the nodes that the scheduler knows.
func (c *machinesCmd) Run(ctx context.Context, std *streams) error {
	client := c.newClient()
	defer client.Close()
	monitoring, err := client.OpenMonitoringSession(ctx)
	if err != nil {
		return err
	}
	machines, err := monitoring.AllMachines(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"NODE", "AVAILABLE", "STATE", "KIND", "ZONE", "CELL", "CORES", "MEMORY", "JOBS"}}
	for _, machine := range machines {
		attributes := machine.ImplementationSpecific
		rows = append(rows, []string{machine.Name, strconv.FormatBool(machine.Available),
			attributes[drmaa2.AttrMachineState], attributes[drmaa2.AttrKind], attributes[drmaa2.AttrZone],
			attributes[drmaa2.AttrCell], strconv.FormatInt(machine.CoresPerSocket, 10),
			fmt.Sprintf("%d GiB", machine.PhysMemory/kibibytesPerGibibyte), attributes[drmaa2.AttrJobs]})
	}
	std.out.table(rows)
	return nil
}
