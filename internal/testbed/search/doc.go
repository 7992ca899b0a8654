// Package search looks for days on which the platform's scheduler breaks a rule. It draws days from seeds, with one, two or three
// faults of package platformsim's catalogue, plays them, and makes a day that breaks a rule smaller while it still breaks that
// rule. The seed of a day alone determines the day and its verdict.
package search
