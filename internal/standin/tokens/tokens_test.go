package tokens

import "testing"

func TestOutputLengthFollowsTheMarker(t *testing.T) {
	for prompt, want := range map[string]int{
		"no marker": 10, "a [tokens=3] b": 3, "[tokens=99]": 10, "[tokens=0]": 1,
	} {
		if got := OutputLength(prompt, 10); got != want {
			t.Errorf("%q: got %d, want %d", prompt, got, want)
		}
	}
}

func TestExpectedTextJoinsTheTokens(t *testing.T) {
	want := ""
	for i := range 5 {
		want += Text(Seed("prompt"), i)
	}
	if got := ExpectedText("prompt", 5); got != want || len(got) != 5*BytesPerToken {
		t.Fatalf("got %q, want %q", got, want)
	}
	if ExpectedText("other", 5) == want {
		t.Fatal("two prompts have one answer")
	}
}
