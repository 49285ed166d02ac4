package emulator

import (
	"fmt"
	"strings"
)

// words is the vocabulary of generated responses.
var words = strings.Fields(`ചെരിപ്പ് പുതിയ സോൾ തുന്നൽ പശ അടുത്ത ആഴ്ച തപാൽ അയയ്ക്കും അളവ് തുകൽ കുതികാൽ നന്ദി
	hem pleat tartan sett waist measure cutter cloth order fitting strap buckle lining wool thread`)

// ResponseChunk returns stream chunk i of the response to a prompt. It depends only on its arguments, so that every engine
// generates the same response.
func ResponseChunk(promptHash uint64, seed int64, i int) string {
	x := promptHash ^ uint64(seed)*0x9e3779b97f4a7c15 ^ uint64(i+1)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return fmt.Sprintf("%s ", words[x%uint64(len(words))])
}

// PromptHash returns the FNV-1a hash of a prompt, for [ResponseChunk].
func PromptHash(prompt string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(prompt) {
		h = (h ^ uint64(prompt[i])) * prime
	}
	return h
}

// ResponseText returns the complete response to a prompt, n chunks long.
func ResponseText(prompt string, seed int64, n int) string {
	h := PromptHash(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(ResponseChunk(h, seed, i))
	}
	return b.String()
}
