package platform

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestValueNestedTooDeeplyBecomesNull(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 30_000) + `1` + strings.Repeat(`}]`, 30_000)
	var list struct {
		Items []json.RawMessage
		After string
	}
	body := `{"Items":[{"ok":"[[{{\"["},` + deep + `,{"ok":2}],"After":"x"}`
	if err := json.Unmarshal(limitDepth([]byte(body)), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Items) != 3 || string(list.Items[0]) != `{"ok":"[[{{\"["}` || string(list.Items[2]) != `{"ok":2}` || list.After != "x" {
		t.Errorf("the other items changed: %q, %q, %q", list.Items[0], list.Items[2], list.After)
	}
}

func TestLimitDepthKeepsOrdinaryTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := json.Marshal(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		if got := limitDepth(text); string(got) != string(text) {
			t.Fatalf("%s became %s", text, got)
		}
	})
}
