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

// simulation is one simulated cluster.
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
	zoneKeyRegistries map[string]nodemodel.KeyRegistry // the idempotency keys that the nodes of a zone share
	zoneGroups        map[string]int32                 // the engine's groups of zones
	recorder          *recorder                        // nil for none
	trace             *traceArrivals                   // in place of the day's load; nil for none

	newModule     func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error)
	configureCore func(cfg *scheduler.Config)

	errMu sync.Mutex // guards err, since entities may fail concurrently
	err   error      // the first
}

// fail ends the simulation.
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

// entityName returns the name of a node or scheduler; for another entity, its number.
func (s *simulation) entityName(id int32) string {
	switch entity := s.engine.entities[id].(type) {
	case *nodeEntity:
		return entity.spec.Name
	case *schedulerEntity:
		return entity.settings.Name
	}
	return fmt.Sprint(id)
}

func newSimulation(day *scenario.Day, opt Options) (*simulation, error) {
	if opt.Load != nil {
		longer := *day
		longer.Seconds = max(day.Seconds, opt.Load.Length().Seconds())
		day = &longer
	}
	s := &simulation{
		day:               day,
		seed:              opt.Seed,
		engine:            newEngine(opt.Workers),
		nodeIDs:           map[string]int32{},
		zoneKeyRegistries: map[string]nodemodel.KeyRegistry{},
		zoneGroups:        map[string]int32{},
		newModule:         opt.NewModule,
		configureCore:     opt.ConfigureCore,
	}
	if err := s.checkOptions(opt); err != nil {
		return nil, err
	}
	if opt.Record != nil {
		s.recorder = &recorder{}
	}
	if opt.Load != nil {
		var err error
		if s.trace, err = newTraceArrivals(opt.Load, day); err != nil {
			return nil, err
		}
	}
	// The random numbers of an entity depend on its number: the order in which entities are added must not change.
	s.clients = newClients(s)
	s.clients.id = s.engine.add(s.clients)
	s.clients.measureFrom = scenario.Seconds(opt.MeasureFrom)
	s.faults = &faultInjector{simulation: s}
	s.faults.id = s.engine.add(s.faults)
	s.addInventory()
	for _, place := range day.Nodes() {
		s.addNode(place)
	}
	if err := s.addSchedulers(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *simulation) checkOptions(opt Options) error {
	if opt.Record != nil && opt.Workers > 1 {
		return &OptionsError{Option: "Workers", Value: opt.Workers, Reason: "can't make a recording, which needs one worker"}
	}
	if s.day.Cores > 1 {
		return &OptionsError{Option: s.day.Name + ": cores", Value: s.day.Cores,
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

func (s *simulation) addNode(place scenario.Node) {
	zone := place.Group.Zone
	n := &nodeEntity{simulation: s, spec: place, settings: settings.Node{Name: place.Name, Kind: place.Group.Kind,
		Zone: zone, Cell: place.Group.Cell}}
	if s.zoneKeyRegistries[zone] == nil {
		s.zoneKeyRegistries[zone] = nodemodel.NewLocalKeys()
		s.zoneGroups[zone] = int32(len(s.zoneGroups) + 1)
	}
	n.id = s.engine.add(n)
	s.engine.groups[n.id] = s.zoneGroups[zone] // since the nodes of a zone share their idempotency keys
	n.latency = newLatencyModel(s.seed, n.id)
	s.nodes, s.nodeNames = append(s.nodes, n), append(s.nodeNames, place.Name)
	s.nodeIDs[place.Name] = n.id
	n.start(Epoch, place.Group.Warm)
}

// schedulerStream separates the random numbers of schedulers from the others of a seed.
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
		set := new(settings.Scheduler) // schedulers differ in names and zones only, and parsing the file takes milliseconds
		*set = *first
		set.Name, set.Index, set.Zone = scenario.SchedulerName(i), i, s.day.Zone(i)
		entity := &schedulerEntity{simulation: s, settings: set, recorder: s.recorder}
		entity.id = s.engine.add(entity)
		entity.latency = newLatencyModel(s.seed, entity.id)
		entity.random = rand.New(rand.NewPCG(s.seed, uint64(entity.id)<<schedulerStream))
		s.schedulers = append(s.schedulers, entity)
	}
	return nil
}
