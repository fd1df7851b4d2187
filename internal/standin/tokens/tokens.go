// Package tokens gives the text that a stand-in engine answers. The text
// depends only on the prompt and the token's place, so a test can tell
// whether every byte arrived, whichever engine sent it.
package tokens

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is how many bytes of a prompt cost one token, and how
	// many bytes each answered token has.
	BytesPerToken = 4
	// lettersPerToken is how many lettersPerToken a token has before its space.
	lettersPerToken = BytesPerToken - 1
	// alphabetSize is how many different letters there are.
	alphabetSize = 26
)

// lengthMarker is the part of a prompt that demands an answer's length.
var lengthMarker = regexp.MustCompile(`\[tokens=(\d{1,9})\]`)

// Seed returns the number that the text of a prompt's answer grows from.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Text returns the token at the index, which counts from zero.
func Text(seed uint64, index int) string {
	mixed := splitmix64(seed + uint64(index))
	var text [BytesPerToken]byte
	for i := range lettersPerToken {
		text[i] = byte('a' + mixed%alphabetSize)
		mixed /= alphabetSize
	}
	text[lettersPerToken] = ' '
	return string(text[:])
}

// WrongText returns the token that a stand-in told to answer wrongly sends.
func WrongText(int) string { return "bad " }

// ExpectedText returns the whole text of an answer of that many tokens.
func ExpectedText(prompt string, count int) string {
	seed := Seed(prompt)
	var text strings.Builder
	for i := range count {
		text.WriteString(Text(seed, i))
	}
	return text.String()
}

// Count returns how many tokens a prompt costs.
func Count(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// OutputLength returns how many tokens the answer has: what the prompt demands
// with the marker "[tokens=N]", at most maximum; the maximum without one.
func OutputLength(prompt string, maximum int) int {
	found := lengthMarker.FindStringSubmatch(prompt)
	if found == nil {
		return maximum
	}
	demanded, err := strconv.Atoi(found[1])
	if err != nil {
		return maximum
	}
	return max(1, min(demanded, maximum))
}

// splitmix64 spreads the bits of a number (the finalizer of splitmix64).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
