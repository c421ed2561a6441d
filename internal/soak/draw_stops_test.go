package soak

import (
	"reflect"
	"testing"
)

// A plan of stops stops each dispatcher twice, has other faults around each stop, and is the same for the same seed. Some plans
// have a crowd.
func TestDrawStops(t *testing.T) {
	bounds := Bounds{Dispatchers: 3, Duration: 8, SyscallFaults: true}
	crowds := 0
	for seed := range uint64(30) {
		plan := DrawStops(seed, bounds)
		if !reflect.DeepEqual(plan, DrawStops(seed, bounds)) {
			t.Errorf("seed %d draws different plans", seed)
		}
		stops := make([]int, bounds.Dispatchers)
		others := 0
		for _, fault := range plan.Faults {
			switch fault.Kind {
			case Terminate, SignalSeries:
				stops[fault.Target]++
			default:
				others++
			}
			if fault.From < firstFaultAt || fault.To <= fault.From {
				t.Errorf("seed %d: %s", seed, fault)
			}
		}
		if !reflect.DeepEqual(stops, []int{2, 2, 2}) || others != 12 {
			t.Errorf("seed %d: %v stops, %d other faults", seed, stops, others)
		}
		if plan.Site.Clients > 0 {
			crowds++
		}
	}
	if crowds < 5 || crowds > 20 {
		t.Errorf("%d of 30 plans have a crowd", crowds)
	}
}
