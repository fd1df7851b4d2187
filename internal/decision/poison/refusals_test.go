package poison

import (
	"testing"
	"time"
)

// Guards against passing on again what is known to crash endpoints, after all hosts have
// been started again.
func TestRefusalsRestoreARegister(t *testing.T) {
	r, restored := NewRegister(), NewRegister()
	crash(r, 0, PartDeathLimit, "beginning", "p")
	r.Record(Evidence{Fingerprint: "f", Endpoint: "x1"}, start)
	r.Record(Evidence{Fingerprint: "f", Endpoint: "x2"}, start)
	restored.Restore(r.Refusals(start), start)
	if !restored.Poisonous("", []string{"beginning", "p"}, start) || !restored.Poisonous("f", nil, start) {
		t.Error("a refusal is lost")
	}
	if restored.Poisonous("", []string{"beginning"}, start) {
		t.Error("a sound beginning is refused")
	}
	if !r.Refusals(start).Same(restored.Refusals(start), start) {
		t.Errorf("%+v became %+v", r.Refusals(start), restored.Refusals(start))
	}
	end := start.Add(Retention)
	if restored.Poisonous("f", []string{"p"}, end) || !restored.Refusals(end).Same(Refusals{}, end) {
		t.Error("a refusal has no end")
	}
}

func TestAnswersEndRestoredRefusals(t *testing.T) {
	r := NewRegister()
	known := Refusals{Requests: map[string]time.Time{"f": start.Add(time.Hour)}, Parts: map[string]time.Time{"p": start.Add(time.Hour)}}
	r.Restore(known, start)
	r.Record(Evidence{Parts: []string{"p"}}, start)
	r.ClearRequest("f")
	if r.Poisonous("f", []string{"p"}, start) {
		t.Error("still refused after an answer")
	}
	if r.Restore(known, start); r.Poisonous("", []string{"p"}, start) {
		t.Error("refused again, although it was answered lately")
	}
	if late := start.Add(Retention); r.Poisonous("f", nil, late) {
		t.Error("a stored refusal lasts longer than one of this run may")
	}
}
