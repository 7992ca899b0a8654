package flaxshelf

// Exports for the tests in package flaxshelf_test, which check a Placer in random worlds, on scripted days and on recordings.

// CheckedPlacer is a Placer whose choices are each compared with linear scans over its records, see choiceOracle.
type CheckedPlacer struct {
	*Placer
	oracle *choiceOracle
}

// ChoiceCoverage is how often each constraint or stage of a choice affected its result, by name.
type ChoiceCoverage = choiceCoverage

// NewChecked returns a CheckedPlacer that makes the same decisions as the Placer of New(cfg, seed).
func NewChecked(cfg Config, seed uint64) (*CheckedPlacer, error) {
	p, err := New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &CheckedPlacer{Placer: p, oracle: newChoiceOracle(p)}, nil
}

// Step is Placer.Step with a comparison of each choice; Err returns the first mismatch.
func (c *CheckedPlacer) Step(now Time, events []Event) []Action {
	c.oracle.beforeStep(max(now, c.now), events)
	actions := c.Placer.Step(now, events)
	c.oracle.afterStep()
	return actions
}

// Err returns the first mismatch between the Placer and the linear scans, or nil if there was none.
func (c *CheckedPlacer) Err() error { return c.oracle.firstMismatch }

// Coverage returns the counts of all steps so far.
func (c *CheckedPlacer) Coverage() ChoiceCoverage { return c.oracle.coverage }
