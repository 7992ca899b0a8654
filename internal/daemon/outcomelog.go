package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// logOutcome logs and counts the outcome of a placement request or the end of a job.
func (d *Daemon) logOutcome(outcome *scheduler.LogOutcome) {
	info := &outcome.Job
	d.metrics.recordOutcome(d.settings, info)
	var event *zerolog.Event
	message := "job outcome"
	if info.State.Ended() {
		event, message = d.log.Info().Str("event", "ended"), "job ended"
	} else {
		event = d.log.Info().Str("event", "outcome")
	}
	event.Str("job", info.ID).
		Str("session", info.Spec.Session).
		Str("class", d.settings.Classes[info.Spec.Class].Name).
		Int("request", info.PlacementRequest).
		Str("placement_outcome", info.Outcome.DisplayName()).
		Str("outcome", string(info.Outcome)). // deprecated: replaced by placement_outcome; removed in 0.2.0
		Str("attempt", outcome.Attempt).
		Str("node", info.Node).
		Str("state", string(info.State)).
		Str("job_sub_state", scheduler.SubStateDisplayName(info.SubState)).
		Str("sub_state", info.SubState). // deprecated: replaced by job_sub_state; removed in 0.2.0
		Str("reason", info.Reason).
		Dur("waited_ms", time.Duration(clock.Now()-info.RequestedAt)).
		Msg(message)
}
