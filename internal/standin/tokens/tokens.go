// Package tokens generates the output of the stand-in engines. A token depends
// only on the prompt and the index of the token, so a test can check that every
// byte arrived, whichever engine sent it.
package tokens

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the number of bytes in a token, of prompts and of
	// outputs alike.
	BytesPerToken = 4
	// lettersPerToken is the number of letters in a token; a space ends it.
	lettersPerToken = BytesPerToken - 1
	// alphabetSize is the number of different letters.
	alphabetSize = 26
)

// lengthMarker is the part of a prompt that sets the output length.
var lengthMarker = regexp.MustCompile(`\[tokens=(\d{1,9})\]`)

// Seed returns the seed of the output text for a prompt.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Text returns the token at the zero-based index.
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

// WrongText returns the token that a wrong response has at every index.
func WrongText(int) string { return "bad " }

// ExpectedText returns the complete output text with count tokens.
func ExpectedText(prompt string, count int) string {
	seed := Seed(prompt)
	var text strings.Builder
	for i := range count {
		text.WriteString(Text(seed, i))
	}
	return text.String()
}

// Count returns the number of tokens in a prompt.
func Count(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// OutputLength returns the number of output tokens: the N of the marker
// "[tokens=N]" in the prompt, clamped to the range from 1 to maximum, or
// maximum if the prompt has no marker.
func OutputLength(prompt string, maximum int) int {
	found := lengthMarker.FindStringSubmatch(prompt)
	if found == nil {
		return maximum
	}
	requested, err := strconv.Atoi(found[1])
	if err != nil {
		return maximum
	}
	return max(1, min(requested, maximum))
}

// splitmix64 is the finalizer of the splitmix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
