package completions

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/sse"
)

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"model":"m","prompt":"","n":2,"logprobs":5}`,
		`{"model":"m","prompt":["a","b"]}`, `{"model":""}`, `[]`, `null`, `{`, "", "\x00",
		`{"model":"m","prompt":"\ud800"}`, `{"model":"m","max_tokens":1e99,"prompt":"p"}`,
		`{"model":"m","prompt":"` + strings.Repeat("p", BlockBytes*3) + `"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := Parse(raw)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if request.Model == "" || request.MaxTokens < 0 || len(request.PrefixBlocks()) > MaxBlocks {
			t.Fatalf("%+v", request)
		}
		streamed, err := AsStream(raw)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(streamed)
		if err != nil || !again.Stream || again.Prompt != request.Prompt || again.Model != request.Model {
			t.Fatalf("%s: %+v, %v", streamed, again, err)
		}
	})
}

func TestPrefixBlocksHashEachPrefix(t *testing.T) {
	prompt := strings.Repeat("abcdefgh", 100)
	blocks := Request{Prompt: prompt}.PrefixBlocks()
	if len(blocks) != 3 {
		t.Fatalf("%d blocks", len(blocks))
	}
	for i, block := range blocks {
		want := xxhash.Sum64String(prompt[:(i+1)*BlockBytes])
		if block != fmt.Sprintf("%016x", want) {
			t.Fatalf("block %d is %s", i, block)
		}
	}
}

func TestEventReaderReturnsOnlyCompleteEvents(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	stream := "id: 1\ndata: a\n\n\nid: 2\r\ndata: " + long + "\r\n\r\ndata: [DONE]\n\nid: 3\ndata: cut"
	events := NewEventReader(iotest.HalfReader(strings.NewReader(stream)))
	for _, want := range []Event{{ID: 1, Data: []byte("a")}, {ID: 2, Data: []byte(long)}, {Data: []byte("[DONE]")}} {
		got, err := events.Next()
		if err != nil || got.ID != want.ID || string(got.Data) != string(want.Data) {
			t.Fatalf("got %d %.20q %v, want %d", got.ID, got.Data, err, want.ID)
		}
	}
	if _, err := events.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("the truncated event gave %v", err)
	}
	if _, err := NewEventReader(strings.NewReader("id: x\n\n")).Next(); !errors.Is(err, ErrEventID) {
		t.Fatalf("got %v", err)
	}
	endless := io.MultiReader(strings.NewReader("data: "), iotest.DataErrReader(strings.NewReader(strings.Repeat("x", sse.MaxEventBytes+10))))
	if _, err := NewEventReader(endless).Next(); !errors.Is(err, ErrEventTooLarge) {
		t.Fatalf("got %v", err)
	}
}

func TestAssemblerRequiresFinishReason(t *testing.T) {
	a := NewAssembler(Request{Chat: true, Prompt: "12345"})
	if err := a.Add([]byte(`{"id":"r","model":"m","choices":[{"delta":{"content":"he"}}]}`)); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Response(); !errors.Is(err, ErrUnfinished) {
		t.Fatalf("got %v", err)
	}
	if err := a.Add([]byte(`{"choices":[{"delta":{"content":"y"},"finish_reason":"stop"}]}`)); err != nil {
		t.Fatal(err)
	}
	got, err := a.Response()
	const want = `{"id":"r","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"hey"},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":2,"total_tokens":4}}`
	if err != nil || string(got) != want {
		t.Fatalf("%s %v", got, err)
	}
}
