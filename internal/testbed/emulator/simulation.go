package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// simulation is a simulated cluster with its clients and the injector of its faults.
type simulation struct {
	day               *scenario.Day
	seed              uint64
	engine            *engine
	clients           *clients
	faults            *faultInjector
	inventory         *inventory
	nodes             []*nodeEntity
	nodeNames         []string // in the order of nodes
	nodeIDs           map[string]int32
	schedulers        []*schedulerEntity
	zoneKeyRegistries map[string]nodemodel.KeyRegistry // by zone, whose nodes share the idempotency keys
	zoneGroups        map[string]int32                 // engine.groups of the nodes of each zone
	recorder          *recorder                        // nil for none
	trace             *traceArrivals                   // replaces the load of the day; nil for none

	newModule     func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	configureCore func(cfg *scheduler.Config)

	errMu sync.Mutex // guards err, which workers set concurrently
	err   error      // the first error
}

// fail ends the simulation with an error. It does nothing for a nil error.
func (s *simulation) fail(err error) {
	if err == nil {
		return
	}
	s.errMu.Lock()
	defer s.errMu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// entityName returns the name of a node or scheduler, or the ID of another entity as text.
func (s *simulation) entityName(id int32) string {
	switch entity := s.engine.entities[id].(type) {
	case *nodeEntity:
		return entity.spec.Name
	case *schedulerEntity:
		return entity.settings.Name
	}
	return fmt.Sprint(id)
}

func newSimulation(day *scenario.Day, options Options) (*simulation, error) {
	if options.Load != nil {
		longer := *day
		longer.LoadSeconds = max(day.LoadSeconds, options.Load.Duration().Seconds())
		day = &longer
	}
	s := &simulation{
		day:               day,
		seed:              options.Seed,
		engine:            newEngine(options.Workers),
		nodeIDs:           map[string]int32{},
		zoneKeyRegistries: map[string]nodemodel.KeyRegistry{},
		zoneGroups:        map[string]int32{},
		newModule:         options.NewModule,
		configureCore:     options.ConfigureCore,
	}
	if err := s.checkOptions(options); err != nil {
		return nil, err
	}
	if options.Record != nil {
		s.recorder = &recorder{}
	}
	if options.Load != nil {
		var err error
		if s.trace, err = newTraceArrivals(options.Load, day); err != nil {
			return nil, err
		}
	}
	// The random numbers of an entity depend on its ID. A change of the order in which entities are added would change results.
	s.clients = newClients(s)
	s.clients.id = s.engine.add(s.clients)
	s.clients.measureFrom = scenario.Seconds(options.MeasureFrom)
	s.faults = &faultInjector{simulation: s}
	s.faults.id = s.engine.add(s.faults)
	s.addInventory()
	for _, spec := range day.Nodes() {
		s.addNode(spec)
	}
	if err := s.addSchedulers(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *simulation) checkOptions(options Options) error {
	if options.Record != nil && options.Workers > 1 {
		return &OptionsError{Option: "Workers", Value: options.Workers, Reason: "can't make a recording, which needs one worker"}
	}
	if s.day.Shards > 1 {
		return &OptionsError{Option: s.day.Name + ": cores", Value: s.day.Shards,
			Reason: "can't be emulated; schedulers of several cores run on sockets only"}
	}
	return nil
}

func (s *simulation) addInventory() {
	s.inventory = &inventory{simulation: s, entityNames: map[int32]string{}, entityIDs: map[string]int32{},
		model: inventorymodel.New(inventorymodel.Config{DiscoveryDelay: s.day.DiscoveryDelay.Duration(),
			RemovalDelay: s.day.RemovalDelay.Duration()})}
	s.inventory.id = s.engine.add(s.inventory)
	s.inventory.latency = newLatencyModel(s.seed, s.inventory.id)
}

func (s *simulation) addNode(spec scenario.Node) {
	zone := spec.Group.Zone
	n := &nodeEntity{simulation: s, spec: spec, settings: settings.Node{Name: spec.Name, Kind: spec.Group.MachineKind,
		Zone: zone, Cell: spec.Group.Cell}}
	if s.zoneKeyRegistries[zone] == nil {
		s.zoneKeyRegistries[zone] = nodemodel.NewLocalKeyRegistry()
		s.zoneGroups[zone] = int32(len(s.zoneGroups) + 1)
	}
	n.id = s.engine.add(n)
	s.engine.groups[n.id] = s.zoneGroups[zone] // the nodes of a zone share a key registry
	n.latency = newLatencyModel(s.seed, n.id)
	s.nodes, s.nodeNames = append(s.nodes, n), append(s.nodeNames, spec.Name)
	s.nodeIDs[spec.Name] = n.id
	n.start(Epoch, spec.Group.Warm)
}

// schedulerStream is by how many bits the ID of a scheduler is shifted to get its random number stream. This separates the
// stream from the others of a seed.
const schedulerStream = 32

func (s *simulation) addSchedulers() error {
	text, err := s.day.SchedulerFile(0, "emulated:1", "", 1)
	if err != nil {
		return err
	}
	first, err := settings.ParseScheduler(scenario.SchedulerName(0), text)
	if err != nil {
		return err
	}
	for i := range s.day.Schedulers {
		// Schedulers differ only in name, index and zone. Parsing the file again for each would take milliseconds.
		schedulerSettings := new(settings.Scheduler)
		*schedulerSettings = *first
		schedulerSettings.Name, schedulerSettings.Index = scenario.SchedulerName(i), i
		schedulerSettings.Zone = s.day.SchedulerZone(i)
		entity := &schedulerEntity{simulation: s, settings: schedulerSettings, recorder: s.recorder}
		entity.id = s.engine.add(entity)
		entity.latency = newLatencyModel(s.seed, entity.id)
		entity.random = rand.New(rand.NewPCG(s.seed, uint64(entity.id)<<schedulerStream))
		s.schedulers = append(s.schedulers, entity)
	}
	return nil
}
