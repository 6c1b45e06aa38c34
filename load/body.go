package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// wordBytes is the length of each word of a generated prompt, including its space: that of an average token.
const wordBytes = cost.BytesPerToken

// body returns the body of the request and its length in bytes. The prompt is generated while it is read, so that many
// concurrent long requests need little memory.
func body(pln Plan, arr arrival) (io.Reader, int64) {
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":"`, pln.Model, pln.MaxTokens)
	tail := `"}`
	words := &wordReader{rng: rand.New(rand.NewPCG(arr.seed, 1)), bytesLeft: arr.tokens * wordBytes}
	length := int64(len(head) + arr.tokens*wordBytes + len(tail))
	return io.MultiReader(strings.NewReader(head), words, strings.NewReader(tail)), length
}

// wordReader generates a reproducible text of random words of three letters and a space.
type wordReader struct {
	rng       *rand.Rand
	bytesLeft int
	word      [wordBytes]byte
	wordPos   int // index of the next byte in word
}

// Read implements io.Reader.
func (wrd *wordReader) Read(buf []byte) (int, error) {
	if wrd.bytesLeft == 0 {
		return 0, io.EOF
	}
	num := 0
	for num < len(buf) && wrd.bytesLeft > 0 {
		if wrd.wordPos == 0 {
			wrd.next()
		}
		buf[num] = wrd.word[wrd.wordPos]
		wrd.wordPos = (wrd.wordPos + 1) % wordBytes
		wrd.bytesLeft--
		num++
	}
	return num, nil
}

// next generates the next word.
func (wrd *wordReader) next() {
	bits := wrd.rng.Uint32()
	for idx := range wordBytes - 1 {
		wrd.word[idx] = 'a' + byte(bits>>(8*idx))%26
	}
	wrd.word[wordBytes-1] = ' '
}
