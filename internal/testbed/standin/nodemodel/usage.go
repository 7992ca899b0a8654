package nodemodel

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Kinds of usage reports, with the wire values of flaxshelf.UsageKind.
const (
	usageKindCores          = 2 // cores that the task uses
	usageKindMemory         = 3 // memory that the task uses
	usageKindServiceLevel   = 4 // available cores of the machine, as a fraction of the cores that all tasks use
	usageKindMemoryPressure = 5 // memory that all tasks use, as a fraction of the available memory of the machine
)

const (
	// maxUsageFraction limits the usage of a task to this multiple of its request.
	maxUsageFraction = 2
	// serviceLevelThreshold is the level below which the service level is reported, and memoryPressureThreshold the pressure
	// above which memory pressure is.
	serviceLevelThreshold   = 0.95
	memoryPressureThreshold = 0.85
)

// taskUsage returns the cores and the memory that a running task uses.
func (n *Node) taskUsage(t *task) (cores, memory float64) {
	factor := n.fault.usageFactor(t.spec.Class)
	cores = t.spec.Cores * min(t.coreUsage*factor, maxUsageFraction)
	memory = t.spec.Memory * min(t.memoryUsage*factor, maxUsageFraction)
	return cores, memory
}

// Usage returns the cores and the memory that all running tasks use.
func (n *Node) Usage() (cores, memory float64) {
	for _, t := range n.tasksInAcceptanceOrder {
		if t.running {
			taskCores, taskMemory := n.taskUsage(t)
			cores += taskCores
			memory += taskMemory
		}
	}
	return cores, memory
}

// updateUsage advances the random walk of each task's usage, evicts tasks if memory is short, and sends usage reports.
func (n *Node) updateUsage() {
	for _, t := range n.tasksInAcceptanceOrder {
		t.coreUsage *= 0.95 + 0.1*n.rng.Float64()
		t.memoryUsage *= 0.97 + 0.06*n.rng.Float64()
	}
	memoryAvailable := n.cfg.Memory * (1 - n.fault.OccupiedFraction)
	n.evictUntilFits(memoryAvailable)
	n.reportUsage(memoryAvailable)
}

// evictUntilFits evicts running tasks, in eviction order, until the rest uses no more than the available memory.
func (n *Node) evictUntilFits(memoryAvailable float64) {
	for {
		_, memory := n.Usage()
		if memory <= memoryAvailable {
			return
		}
		running := slices.DeleteFunc(slices.Clone(n.tasksInAcceptanceOrder), func(t *task) bool { return !t.running })
		slices.SortFunc(running, compareEvictionOrder)
		n.endTask(running[0], nodepb.Ending_LOST, nodepb.Reason_EVICTED)
	}
}

// reportUsage sends the usage of each running task, and shortages of cores or memory on the machine, to the task's scheduler.
func (n *Node) reportUsage(memoryAvailable float64) {
	cores, memory := n.Usage()
	serviceLevel := 1.0
	if coresAvailable := n.cfg.Cores * (1 - n.fault.OccupiedFraction); cores > coresAvailable {
		serviceLevel = coresAvailable / cores
	}
	memoryPressure := 1.0
	if memoryAvailable > 0 {
		memoryPressure = memory / memoryAvailable
	}
	for _, t := range n.tasksInAcceptanceOrder {
		if !t.running {
			continue
		}
		taskCores, taskMemory := n.taskUsage(t)
		n.sendUsageReport(t, usageKindCores, taskCores)
		n.sendUsageReport(t, usageKindMemory, taskMemory)
		if serviceLevel < serviceLevelThreshold {
			n.sendUsageReport(t, usageKindServiceLevel, serviceLevel)
		}
		if memoryPressure > memoryPressureThreshold {
			n.sendUsageReport(t, usageKindMemoryPressure, memoryPressure)
		}
	}
}

func (n *Node) sendUsageReport(t *task, kind int32, amount float64) {
	n.send(t.scheduler, &nodepb.Frame{Body: &nodepb.Frame_Note{Note: &nodepb.Note{Attempt: t.attempt, Kind: kind,
		Amount: amount}}})
}
