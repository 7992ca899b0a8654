package machinetest

import "testing"

func TestFilledSetsEveryField(t *testing.T) {
	ExpectFilled(t, Filled(t))
}
