package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// effectText formats an effect for a transcript. It returns "" for a published change unless printChanges is set.
func effectText(effect Effect, printChanges bool) string {
	switch effect := effect.(type) {
	case Connect:
		return "connect " + effect.Node
	case Disconnect:
		return "disconnect " + effect.Node
	case SubscribeDiscovery:
		return "> discovery subscribe"
	case SyncDiscovery:
		return fmt.Sprintf("> discovery sync %d", effect.Token)
	case Answer:
		return answerText(effect)
	case Publish:
		return publishText(effect, printChanges)
	case LogOutcome:
		return outcomeText(effect.Job)
	case Drained:
		return "drained"
	case ShareSession:
		return "share session " + effect.Name
	}
	return messageText(effect)
}

// messageText formats a message to a node.
func messageText(effect Effect) string {
	switch effect := effect.(type) {
	case SendOffer:
		return fmt.Sprintf("> %s offer %s for %v", effect.Node, effect.Attempt, effect.ValidFor.Round(time.Millisecond))
	case SendStop:
		return fmt.Sprintf("> %s stop %s", effect.Node, effect.Attempt)
	case SendAck:
		return fmt.Sprintf("> %s ack %s", effect.Node, effect.Attempt)
	case SendHealthCheck:
		return fmt.Sprintf("> %s health-check", effect.Node)
	case SyncNode:
		return fmt.Sprintf("> %s sync %d", effect.Node, effect.Token)
	}
	return fmt.Sprintf("%#v", effect)
}

func answerText(answer Answer) string {
	if answer.Err != nil {
		return fmt.Sprintf("answer %d: %v retry after %v", answer.RequestID, answer.Err,
			answer.Err.RetryAfter.Round(time.Millisecond))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "answer %d:", answer.RequestID)
	if answer.Existing {
		b.WriteString(" existing")
	}
	if answer.ArrayID != "" {
		b.WriteString(" array " + answer.ArrayID)
	}
	for _, job := range answer.Jobs {
		fmt.Fprintf(&b, " %s %s/%s", job.ID, job.State, job.SubState)
	}
	for _, machine := range answer.Machines {
		fmt.Fprintf(&b, " %s connected=%v jobs=%d", machine.ID, machine.Connected, machine.Jobs)
	}
	b.WriteString(strings.Join(answer.Sessions, " "))
	return b.String()
}

func publishText(publish Publish, printChanges bool) string {
	if !printChanges {
		return ""
	}
	info := publish.Job
	return fmt.Sprintf("publish to %d: %s request %d %s/%s %s", publish.Stream, info.ID, info.PlacementRequest, info.State,
		info.SubState, info.Outcome)
}

func outcomeText(info JobInfo) string {
	if info.State.Ended() {
		return fmt.Sprintf("end %s %s/%s %s", info.ID, info.State, info.SubState, info.Reason)
	}
	return fmt.Sprintf("outcome %s request %d %s", info.ID, info.PlacementRequest, info.Outcome)
}
