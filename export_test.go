package flaxshelf

// Exports for the tests of package flaxshelf_test, which play worlds and days to a Placer.

// CheckedPlacer is a Placer that compares each of its choices with plain scans.
type CheckedPlacer struct {
	*Placer
	oracle *choiceOracle
}

// ChoiceCounts is how often each part of a choice made a difference.
type ChoiceCounts = oracleCounts

// NewChecked makes a CheckedPlacer.
func NewChecked(cfg Config, seed uint64) (*CheckedPlacer, error) {
	p, err := New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &CheckedPlacer{Placer: p, oracle: newChoiceOracle(p)}, nil
}

// Step makes a step of the Placer and compares its choices.
func (c *CheckedPlacer) Step(now Time, events []Event) []Action {
	c.oracle.beforeStep(max(now, c.now), events)
	actions := c.Placer.Step(now, events)
	c.oracle.afterStep()
	return actions
}

// Err returns the first difference.
func (c *CheckedPlacer) Err() error { return c.oracle.err }

// Counts returns the counts so far.
func (c *CheckedPlacer) Counts() ChoiceCounts { return c.oracle.counts }
