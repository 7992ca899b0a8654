package platform

import (
	"reflect"

	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// configuredNodes returns the nodes of the configuration, with its events merged into one update, so that a start dials only
// the nodes that are still listed.
func (s *scheduler) configuredNodes() []requests.Input {
	list, found := platformfront.MergeUpdates(s.config.Load().InitialEvents)
	if !found {
		return nil
	}
	list.FromConfig = true
	return []requests.Input{list}
}

// reload reads the configuration again, follows its control feed and returns the node updates that are new. A file that
// cannot be read changes nothing.
//
// The core retains the settings of its start, because other settings would number classes and kinds differently. The node
// updates of the file are decoded with the names of the start, so that a drain is never missed.
func (s *scheduler) reload() []requests.Input {
	old := s.config.Load()
	file, err := platformfront.ReadConfig(s.options.ConfigPath)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("configuration cannot be reloaded, the old one stays in use")
		return nil
	}
	if !reflect.DeepEqual(file.Module, old.Module) {
		s.options.Log.Error().
			Msg("changed settings are ignored until a restart, the control feed and the nodes of the new configuration are used")
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

// decodeNewEvents decodes the events after the position, which it advances to the last of them. Events that cannot be decoded with
// config are skipped.
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
