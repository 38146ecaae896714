package core

import (
	"reflect"
	"testing"
	"time"
)

func TestTimersRunInOrderOnce(t *testing.T) {
	h := newHarness(t, nil)
	var ran []int
	for _, at := range []int{3, 1, 2, 1} {
		h.timers.add(h.clock+time.Duration(at)*ms, func() { ran = append(ran, at) })
	}
	removed := h.timers.add(h.clock+ms, func() { ran = append(ran, 9) })
	h.timers.remove(removed)
	h.pass(2 * ms)
	h.pass(2 * ms)
	if want := []int{1, 1, 2, 3}; !reflect.DeepEqual(ran, want) {
		t.Errorf("timers ran in the order %v, want %v", ran, want)
	}
}
