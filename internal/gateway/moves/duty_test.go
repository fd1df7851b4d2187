package moves

import (
	"testing"

	"kingcupcourse/internal/decision/catalog"
	decision "kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/message"
)

// A target gets traffic only as the holder of its move allows, or after the move
// has succeeded, and none once it was found bad.
func TestPlacementConstraints(t *testing.T) {
	canary := decision.Status{Stage: message.StageCanary, Share: 0.08}
	none, ordered := Constraints{}, catalog.Order{Target: "v2"}
	for _, tt := range []struct {
		name      string
		move      move
		elsewhere Constraints
		want      Constraints
	}{
		{"not held", move{status: canary}, none, none},
		{"held", move{status: canary, held: true}, none, Constraints{MaxShare: 0.08}},
		{"found bad, and reacquired from a record without the finding",
			move{status: canary, held: true, badVersion: &message.BadVersion{}}, none, none},
		{"done", move{status: decision.Status{Stage: message.StageDone, Share: 1}, held: true}, none, Constraints{MaxShare: 1, Done: true}},
		{"succeeded", move{order: catalog.Order{State: catalog.OrderSucceeded}}, none, Constraints{MaxShare: 1, Done: true}},
		{"rolled back", move{status: canary, held: true, order: catalog.Order{State: catalog.OrderRolledBack}}, none, none},
		{"held by another host", move{status: canary, order: ordered}, Constraints{Target: "v2", MaxShare: 0.08}, Constraints{Target: "v2", MaxShare: 0.08}},
		{"done by another host", move{status: canary, order: ordered}, Constraints{Target: "v2", MaxShare: 1, Done: true},
			Constraints{Target: "v2", MaxShare: 1, Done: true}},
		{"another target held by another host", move{status: canary, order: ordered}, Constraints{Target: "v3", MaxShare: 0.08}, Constraints{Target: "v2"}},
		{"found bad, but not known to the holder", move{badVersion: &message.BadVersion{}, order: ordered},
			Constraints{Target: "v2", MaxShare: 0.08}, Constraints{Target: "v2"}},
	} {
		if got := tt.move.constraints(tt.elsewhere); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
