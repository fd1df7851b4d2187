package evacuation

import (
	"reflect"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func order(zone core.AvailabilityZone, revision uint64) Order {
	return Order{Zone: zone, Revision: revision, ObservedAt: epoch}
}

func TestTrackerTellsWhatHasChanged(t *testing.T) {
	var tracker Tracker
	for _, step := range []struct {
		what         string
		orders       Orders
		begun, ended []Order
	}{
		{"none", Orders{}, nil, nil},
		{"two zones", Orders{"b": order("b", 2), "a": order("a", 1)}, []Order{order("a", 1), order("b", 2)}, nil},
		{"the same again", Orders{"b": order("b", 2), "a": order("a", 1)}, nil, nil},
		{"given anew between two views", Orders{"b": order("b", 5), "a": order("a", 1)}, []Order{order("b", 5)}, nil},
		{"one taken back", Orders{"b": order("b", 5)}, nil, []Order{order("a", 1)}},
	} {
		begun, ended := tracker.SetOrders(step.orders)
		if !reflect.DeepEqual(begun, step.begun) || !reflect.DeepEqual(ended, step.ended) {
			t.Errorf("%s: begun %v, ended %v, want %v, %v", step.what, begun, ended, step.begun, step.ended)
		}
		for _, zone := range []core.AvailabilityZone{"a", "b", "c"} {
			if _, want := step.orders[zone]; tracker.Evacuated(zone) != want {
				t.Errorf("%s: zone %s evacuated: %v, want %v", step.what, zone, !want, want)
			}
		}
	}
}

// A zone is reported until it is empty, and then once as emptied.
func TestProgressEndsWhenTheZoneIsEmpty(t *testing.T) {
	var tracker Tracker
	tracker.SetOrders(Orders{"a": order("a", 1)})
	for i, running := range []int{3, 1} {
		got := tracker.Progress(map[core.AvailabilityZone]int{"a": running, "b": 9}, epoch)
		if len(got) != 1 || got[0].Running != running || got[0].Emptied {
			t.Errorf("step %d: %+v, want %d running", i, got, running)
		}
	}
	if got := tracker.Progress(nil, epoch); len(got) != 1 || !got[0].Emptied {
		t.Errorf("%+v, want the zone emptied", got)
	}
	if got := tracker.Progress(nil, epoch); len(got) != 0 {
		t.Errorf("%+v, want nothing more", got)
	}
	tracker.SetOrders(Orders{"a": order("a", 7)})
	if got := tracker.Progress(map[core.AvailabilityZone]int{"a": 2}, epoch); len(got) != 1 || got[0].Running != 2 {
		t.Errorf("%+v, want the progress of the new order", got)
	}
}
