package platform

import (
	"reflect"

	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// configuredNodes returns the nodes in the configuration as an input for the core. The events in the configuration are merged
// into one update, so that the scheduler dials only nodes that are still listed at its start.
func (s *scheduler) configuredNodes() []requests.Input {
	list, found := platformfront.MergeUpdates(s.config.Load().InitialEvents)
	if !found {
		return nil
	}
	list.FromConfig = true
	return []requests.Input{list}
}

// reload reads the configuration file again, subscribes to the control feed that it names, and returns the node updates in it
// that are new. A file that cannot be read or decoded changes nothing.
//
// The core retains the settings from its start, because other settings could number classes and kinds of machines differently.
// The node updates in the file are applied nevertheless, so that a drain is never missed. They are decoded with the names from
// the start.
func (s *scheduler) reload() []requests.Input {
	old := s.config.Load()
	file, err := platformfront.ReadConfig(s.options.ConfigPath)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("cannot reload configuration, keeping the previous one")
		return nil
	}
	if !reflect.DeepEqual(file.Placer, old.Placer) {
		s.options.Log.Error().
			Msg("changed settings are ignored until a restart; using the control feed and the nodes of the new configuration")
	}
	var inputs []requests.Input
	if list, found := platformfront.MergeUpdates(s.decodeNewEvents(old, file.InitialEventsJSON)); found {
		inputs = append(inputs, list)
	}
	config := *old
	config.ControlFeedAddr = file.ControlFeedAddr
	s.config.Store(&config)
	s.options.Log.Info().Str("control_feed", config.ControlFeedAddr).Str("former_control_feed", old.ControlFeedAddr).
		Uint64("last_event", s.watchPosition.lastSequence).Msg("configuration reloaded")
	s.subscribe()
	return inputs
}

// decodeNewEvents decodes those events in data that follow the last event applied, and counts them as applied. Events that
// cannot be decoded with config are skipped.
func (s *scheduler) decodeNewEvents(config *platformfront.Config, data [][]byte) []platformfront.WatchEvent {
	var events []platformfront.WatchEvent
	for _, raw := range data {
		event, err := config.DecodeWatchEvent(raw)
		if err == nil && event.Sequence > s.watchPosition.lastSequence {
			s.watchPosition.lastSequence = event.Sequence
			events = append(events, event)
		}
	}
	return events
}
