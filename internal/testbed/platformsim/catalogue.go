package platformsim

import "time"

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. Catalogue says what each one does.
const (
	AnswerLost      FaultKind = "answer-lost"
	AnswerNoise     FaultKind = "answer-noise"
	AnswerCut       FaultKind = "answer-cut"
	AnswerLate      FaultKind = "answer-late"
	AnswerTwice     FaultKind = "answer-twice"
	LinksReset      FaultKind = "links-reset"
	LinksClosed     FaultKind = "links-closed"
	OwnerReset      FaultKind = "owner-reset"
	RoomCutOff      FaultKind = "room-cut-off"
	RoomLost        FaultKind = "room-lost"
	NodeReplaced    FaultKind = "node-replaced"
	NodeDrained     FaultKind = "node-drained"
	PoorService     FaultKind = "poor-service"
	FeedBroken      FaultKind = "feed-broken"
	FeedStopped     FaultKind = "feed-stopped"
	FeedRefused     FaultKind = "feed-refused"
	FeedSlow        FaultKind = "feed-slow"
	BogusReports    FaultKind = "bogus-reports"
	CanceledFlood   FaultKind = "canceled-flood"
	SchedulerKilled FaultKind = "scheduler-killed"
	LinksLate       FaultKind = "links-late"
	NodeSlow        FaultKind = "node-slow"
	NodeHung        FaultKind = "node-hung"
	IdleClients     FaultKind = "idle-clients"
)

// FaultEntry is an entry of the catalogue: what the platform's pages say of a kind of fault.
type FaultEntry struct {
	Source    string        // the page that names it, and its limit
	MaxLength time.Duration // longest For
	MaxCount  int           // greatest Count
	// DrainDelay is how much later a drain counts as told that is announced while the fault lasts.
	DrainDelay time.Duration
}

// Catalogue has an entry for each kind of fault.
var Catalogue = map[FaultKind]FaultEntry{
	AnswerLost:  {Source: "DAYS, bad peers: answers that never arrive; an open connection is of no further use", MaxCount: 50},
	AnswerNoise: {Source: "DAYS, bad peers: noise", MaxCount: 50},
	AnswerCut:   {Source: "DAYS, bad peers: answers that break off or stop short", MaxCount: 50},
	AnswerLate:  {Source: "DAYS, bad peers: answers that arrive after their time", MaxCount: 50},
	AnswerTwice: {Source: "DAYS, bad peers: a second copy of an answer", MaxCount: 50},
	LinksReset:  {Source: "DAYS, bad peers: connections are reset, whether new, idle or under a request", MaxCount: 50},
	LinksClosed: {Source: "STANDING, more than these days: nodes that close connections; the length is ours",
		MaxLength: 5 * time.Second},
	OwnerReset:   {Source: "STANDING, split day: connections are reset under requests", MaxCount: 50},
	RoomCutOff:   {Source: "STANDING, split day: a room is partitioned for 6 s", MaxLength: 6 * time.Second},
	RoomLost:     {Source: "STANDING, zone day: a room is lost for 5 s and returns cold", MaxLength: 5 * time.Second},
	NodeReplaced: {Source: "DAYS, the long day: a node is replaced by a new one, some at its address", MaxCount: 1},
	NodeDrained:  {Source: "PROTOCOL, the control feed: a node is leaving", MaxLength: 20 * time.Second},
	PoorService:  {Source: "BRIEF: another program takes a part of the machine", MaxLength: 26 * time.Second},
	FeedBroken: {Source: "DAYS, bad peers: the feed breaks off; counts as told 2 s later", MaxCount: 10,
		DrainDelay: 2 * time.Second},
	FeedStopped: {Source: "DAYS, bad peers: the feed stops while staying open; counts as told 4 s later", MaxCount: 1,
		DrainDelay: 4 * time.Second},
	FeedRefused: {Source: "STANDING, herd day: discovery is down for 8 s", MaxLength: 8 * time.Second,
		DrainDelay: 2 * time.Second},
	FeedSlow: {Source: "STANDING, more than these days: slow discovery; a call may take 2 s", MaxLength: 30 * time.Second,
		DrainDelay: 2 * time.Second},
	BogusReports: {Source: "DAYS, bad clients: ids that no node knows, hundreds of requests at once", MaxLength: 30 * time.Second,
		MaxCount: 8},
	CanceledFlood: {Source: "DAYS, bad clients: hundreds of requests that are taken back at once", MaxLength: 30 * time.Second,
		MaxCount: 8},
	LinksLate: {Source: "STANDING, join day: connections to nodes come up late, up to 1 s", MaxLength: 20 * time.Second},
	NodeSlow:  {Source: "STANDING, zone day: one of eight nodes is slow; the length is ours", MaxLength: 20 * time.Second},
	NodeHung:  {Source: "STANDING, roll day: one of twenty nodes hangs; the length is ours", MaxLength: 10 * time.Second},
	IdleClients: {Source: "DAYS, bad clients: others connect by hundreds and say nothing", MaxLength: 30 * time.Second,
		MaxCount: 300},
	SchedulerKilled: {Source: "DEPLOY: schedulers may be killed outright at any time", MaxCount: 1},
}
