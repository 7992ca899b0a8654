package main

import (
	"io"

	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

type verifyCmd struct {
	File  string   `arg:"" type:"existingfile" help:"Recording of a trial or of an emulated day."`
	Terms []string `name:"follow" placeholder:"WORD" help:"Print the frames with all these words instead of checking the rules."`
}

// Run checks a recording against the rules, or prints the frames that --follow selects.
func (c *verifyCmd) Run(std *streams) error {
	if len(c.Terms) > 0 {
		_, err := readFile(c.File, func(r io.Reader) (struct{}, error) {
			return struct{}{}, rules.PrintFrames(r, std.out, c.Terms...)
		})
		return err
	}
	verdict, err := readFile(c.File, func(r io.Reader) (*rules.Verdict, error) {
		verdict, err := rules.Check(r)
		if err != nil {
			return nil, usageError{err}
		}
		return verdict, nil
	})
	if err != nil {
		return err
	}
	std.out.print(verdict)
	if !verdict.OK() {
		return errRuleViolated
	}
	return nil
}
