package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// promptWord has the length of an average token.
const promptWord = cost.BytesPerToken

// body returns a request body whose prompt has the given number of tokens, and its length. The prompt is generated as
// it is read, so that many long requests need no memory here.
func body(pln Plan, arr arrival) (io.Reader, int64) {
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":"`, pln.Model, pln.MaxTokens)
	tail := `"}`
	words := &wordReader{rng: rand.New(rand.NewPCG(arr.seed, 1)), left: arr.tokens * promptWord}
	length := int64(len(head) + arr.tokens*promptWord + len(tail))
	return io.MultiReader(strings.NewReader(head), words, strings.NewReader(tail)), length
}

// wordReader produces a reproducible text of words of three letters and a space.
type wordReader struct {
	rng  *rand.Rand
	left int
	word [promptWord]byte
	used int
}

// Read implements io.Reader.
func (wrd *wordReader) Read(buf []byte) (int, error) {
	if wrd.left == 0 {
		return 0, io.EOF
	}
	num := 0
	for num < len(buf) && wrd.left > 0 {
		if wrd.used == 0 {
			wrd.next()
		}
		buf[num] = wrd.word[wrd.used]
		wrd.used = (wrd.used + 1) % promptWord
		wrd.left--
		num++
	}
	return num, nil
}

func (wrd *wordReader) next() {
	bits := wrd.rng.Uint32()
	for idx := range promptWord - 1 {
		wrd.word[idx] = 'a' + byte(bits>>(8*idx))%26
	}
	wrd.word[promptWord-1] = ' '
}
