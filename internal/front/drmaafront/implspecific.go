package drmaafront

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

const (
	maxIdentifierBytes = 256 // length of a key or a service name
	maxResourceAmount  = 1e9 // cores, or GiB of memory
)

// setImplementationSpecific sets the fields of a spec from the template's implementation-specific attributes. It rejects unknown
// ones.
func setImplementationSpecific(spec *scheduler.JobSpec, template *drmaa2.JobTemplate) *drmaa2.Error {
	for name, value := range template.ImplementationSpecific {
		var err *drmaa2.Error
		switch name {
		case drmaa2.AttrService:
			spec.Service, err = parseIdentifier(name, value)
		case drmaa2.AttrKey:
			spec.Key, err = parseIdentifier(name, value)
		case drmaa2.AttrCores:
			spec.Cores, err = parseAmount(name, value, template.MinSlots > 0)
		case drmaa2.AttrMemory:
			spec.Memory, err = parseAmount(name, value, template.MinPhysMemory > 0)
		case drmaa2.AttrExpectedRuntime:
			spec.ExpectedRuntime, err = parseDuration(name, value)
		case drmaa2.AttrPlacementTimeout:
			spec.PlacementTimeout, err = parseDuration(name, value)
		default:
			err = unsupportedAttribute(truncate(name), "is not known")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func parseIdentifier(name, value string) (string, *drmaa2.Error) {
	if value == "" || len(value) > maxIdentifierBytes || strings.ContainsFunc(value, isSpaceOrControl) {
		return "", invalidArgument(name, fmt.Sprintf("expected 1 to %d bytes without spaces", maxIdentifierBytes))
	}
	return value, nil
}

func isSpaceOrControl(r rune) bool { return r == ' ' || isControl(r) }

// parseAmount parses a number of cores or GiB. alreadySet reports whether the template also has the amount in the attribute of
// the DRMAA specification, which is an error.
func parseAmount(name, value string, alreadySet bool) (float64, *drmaa2.Error) {
	amount, err := strconv.ParseFloat(value, 64)
	switch {
	case alreadySet:
		return 0, invalidArgument(name, "is given twice, by the specification's attribute too")
	case err != nil || math.IsNaN(amount) || math.IsInf(amount, 0) || amount <= 0 || amount > maxResourceAmount:
		return 0, invalidArgument(name, "expected a number above 0")
	}
	return amount, nil
}

func parseDuration(name, value string) (time.Duration, *drmaa2.Error) {
	duration, err := time.ParseDuration(value)
	if err != nil || duration <= 0 {
		return 0, invalidArgument(name, "expected a duration above 0, as 90s")
	}
	return duration, nil
}
