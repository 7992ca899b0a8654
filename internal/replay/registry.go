package replay

import (
	"encoding/gob"
	"errors"
	"reflect"

	"flaxshelf.example/flaxshelf"
)

// storedTypePrefix precedes the name of an event or action type in a recording.
const storedTypePrefix = "flaxshelf.example/flaxshelf."

// typeRegistry holds the conversions between the types of package flaxshelf and their records. It is filled while package-level
// variables are initialized, and only read afterwards.
type typeRegistry struct {
	byModel          map[reflect.Type]*conversion // of events and actions, by their types in package flaxshelf
	byRecord         map[reflect.Type]*conversion // the same conversions, by the types of the records
	configConversion conversion
	err              error // joined errors of all conversions; each is a mistake in record.go
}

// storedTypes is the registry of the recording format.
var storedTypes = newTypeRegistry()

// newTypeRegistry registers all event and action types. The registered names are those that the types of package flaxshelf had
// when the first recordings were written. They are in every recording and must not change.
func newTypeRegistry() *typeRegistry {
	r := &typeRegistry{byModel: map[reflect.Type]*conversion{}, byRecord: map[reflect.Type]*conversion{}}
	r.configConversion, r.err = newConversion(reflect.TypeFor[configRecord](), reflect.TypeFor[flaxshelf.Config]())

	registerEvent[machinesUpdatedRecord, flaxshelf.MachinesUpdated](r, "Listed")
	registerEvent[discoveryFailedRecord, flaxshelf.DiscoveryFailed](r, "ListFailed")
	registerEvent[taskSubmittedRecord, flaxshelf.TaskSubmitted](r, "Place")
	registerEvent[taskAdoptedRecord, flaxshelf.TaskAdopted](r, "Running")
	registerEvent[attemptPlacedRecord, flaxshelf.AttemptPlaced](r, "Placed")
	registerEvent[attemptEndedRecord, flaxshelf.AttemptEnded](r, "Ended")
	registerEvent[usageReportRecord, flaxshelf.UsageReport](r, "Note")
	registerEvent[healthCheckedRecord, flaxshelf.HealthChecked](r, "Probed")
	registerEvent[gossipReceivedRecord, flaxshelf.GossipReceived](r, "Message")
	registerEvent[timerFiredRecord, flaxshelf.TimerFired](r, "Woken")
	registerEvent[taskCanceledRecord, flaxshelf.TaskCanceled](r, "Gone")

	registerAction[offerRecord, flaxshelf.Offer](r, "Offer")
	registerAction[cancelRecord, flaxshelf.Cancel](r, "Withdraw")
	registerAction[rejectRecord, flaxshelf.Reject](r, "Refuse")
	registerAction[failRecord, flaxshelf.Fail](r, "Fail")
	registerAction[migrateRecord, flaxshelf.Migrate](r, "Move")
	registerAction[healthCheckRecord, flaxshelf.HealthCheck](r, "Probe")
	registerAction[sendGossipRecord, flaxshelf.SendGossip](r, "Tell")
	registerAction[subscribeRecord, flaxshelf.Subscribe](r, "Subscribe")
	registerAction[setTimerRecord, flaxshelf.SetTimer](r, "Wake")
	return r
}

// registerEvent registers Record under storedName as the record of events of type Model.
func registerEvent[Record eventRecord, Model flaxshelf.Event](r *typeRegistry, storedName string) {
	r.register(storedName, reflect.TypeFor[Record](), reflect.TypeFor[Model]())
}

// registerAction registers Record under storedName as the record of actions of type Model.
func registerAction[Record actionRecord, Model flaxshelf.Action](r *typeRegistry, storedName string) {
	r.register(storedName, reflect.TypeFor[Record](), reflect.TypeFor[Model]())
}

func (r *typeRegistry) register(storedName string, record, model reflect.Type) {
	c, err := newConversion(record, model)
	r.err = errors.Join(r.err, err)
	r.byModel[model], r.byRecord[record] = &c, &c
	gob.RegisterName(storedTypePrefix+storedName, reflect.Zero(record).Interface())
}

// newRecords returns the records of events or actions. The error is an *UnknownTypeError for a type that has no record.
func newRecords[Record, Model any](r *typeRegistry, values []Model) ([]Record, error) {
	if len(values) == 0 {
		return nil, nil
	}
	records := make([]Record, len(values))
	for i, value := range values {
		c := r.byModel[reflect.TypeOf(value)]
		if c == nil {
			return nil, &UnknownTypeError{Value: value}
		}
		records[i] = c.newRecord(value).(Record)
	}
	return records, nil
}

// errNoType reports a nil event or action, which only a damaged recording has.
var errNoType = errors.New("an event or action has no type")

// newModelValues returns the events or actions that are stored in records. The error is errNoType for a nil record.
func newModelValues[Model, Record any](r *typeRegistry, records []Record) ([]Model, error) {
	if len(records) == 0 {
		return nil, nil
	}
	values := make([]Model, len(records))
	for i, record := range records {
		c := r.byRecord[reflect.TypeOf(record)]
		if c == nil {
			return nil, errNoType
		}
		values[i] = c.newModelValue(record).(Model)
	}
	return values, nil
}
