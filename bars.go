package flaxshelf

// What of the decisions can be taken out, one at a time, so that tests see what it is for. Nothing is decided here.

// Bar is a bar, or a way in which evidence is read.
type Bar int

// The hard bars, then the soft bars in their order, then the ways of evidence.
const (
	DrainBar        Bar = iota // machines that drain
	RepeatBar                  // where a second start would do harm
	SpreadBar                  // places that have their most of a service
	ColdBar                    // cold machines that have had this scheduler's share
	AnswerBar                  // the final answer before the owner gives up
	TriedBar                   // tried already for this ask
	FailingBar                 // failing, lost or out of reach
	ClassBar                   // failing this class
	RefusedBar                 // refused such a size lately
	RushedBar                  // enough offers are out since a refusal
	RoomBar                    // no room by the list
	NeededBar                  // more machines than are needed
	StrainedBar                // tasks are served badly: load in the vote, no bar
	ContradictedBar            // the report is far over the others'
	HomesBar                   // not the service's homes
	GoneBinds                  // binds of a machine that is gone leave the history
	ProvedBinds                // binds that proved not to have run leave it
	ProbeBar                   // one offer finds out whether a failing machine has recovered
	LateRoom                   // the list's room less what it may lack
	Waits                      // tasks that can still start in time go first
	Oldest                     // of these the one that came first; without it, the last
	Moves                      // tasks that are served badly are moved
	bars
)

var barNames = [bars]string{"drain", "repeat", "spread", "cold", "answer", "tried", "failing", "class", "refused",
	"rushed", "room", "needed", "strained", "contradicted", "homes", "gone-binds", "proved-binds", "probe", "late-room",
	"waits", "oldest", "moves"}

// Bars lists all.
func Bars() []Bar {
	all := make([]Bar, bars)
	for i := range all {
		all[i] = Bar(i)
	}
	return all
}

func (b Bar) String() string { return barNames[b] }

// Hard tells whether a rule hangs on it.
func (b Bar) Hard() bool { return b <= AnswerBar }

// Without takes bars out. It is for tests and experiments, before the first Step; no deployment does it.
func (p *Placer) Without(out ...Bar) {
	for _, b := range out {
		p.without[b] = true
	}
}
