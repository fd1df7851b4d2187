package moves

import (
	"testing"

	"kingcupcourse/internal/decision/catalog"
	decision "kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/message"
)

// A target gets traffic only from a host that holds its move or after the move
// has succeeded, and none once it was found bad.
func TestPlacementStage(t *testing.T) {
	canary := decision.Status{Stage: message.StageCanary, Share: 0.08}
	for _, tt := range []struct {
		name string
		move move
		want Constraints
	}{
		{"not held", move{status: canary}, Constraints{}},
		{"held", move{status: canary, held: true}, Constraints{MaxShare: 0.08}},
		{"found bad, and reacquired from a record without the finding",
			move{status: canary, held: true, badVersion: &message.BadVersion{}}, Constraints{}},
		{"done", move{status: decision.Status{Stage: message.StageDone, Share: 1}, held: true}, Constraints{MaxShare: 1, Done: true}},
		{"succeeded", move{order: catalog.Order{State: catalog.OrderSucceeded}}, Constraints{MaxShare: 1, Done: true}},
		{"rolled back", move{status: canary, held: true, order: catalog.Order{State: catalog.OrderRolledBack}}, Constraints{}},
	} {
		if got := tt.move.stage(); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
