package route

const (
	// prefixBlocks is the number of prompt blocks that are remembered for an agent. At 1,024 tokens each this is about
	// twice the KV memory of an engine, which all of its cached prefixes share.
	prefixBlocks = 1024
	// blockTokens is the estimated number of tokens in a block, which has edge.PrefixBlockBytes bytes.
	blockTokens = 1024
)

// prefixes remembers the prompt blocks that were last sent to an agent, since the engine probably has them cached. A
// block is represented by the hash of the prompt up to its end.
type prefixes struct {
	ring  []uint64 // hashes of the last prefixBlocks blocks
	next  int
	count map[uint64]int // occurrences in ring
}

func (pre *prefixes) init() {
	pre.count = make(map[uint64]int)
}

// cached returns the number of leading tokens that are probably cached of a prompt with the given block hashes.
func (pre *prefixes) cached(list []uint64) int {
	num := 0
	for num < len(list) && pre.count[list[num]] > 0 {
		num++
	}
	return num * blockTokens
}

func (pre *prefixes) add(list []uint64) {
	for _, sum := range list {
		if len(pre.ring) < prefixBlocks {
			pre.ring = append(pre.ring, sum)
		} else {
			pre.forget(pre.ring[pre.next])
			pre.ring[pre.next] = sum
		}
		pre.next = (pre.next + 1) % prefixBlocks
		pre.count[sum]++
	}
}

func (pre *prefixes) forget(sum uint64) {
	pre.count[sum]--
	if pre.count[sum] <= 0 {
		delete(pre.count, sum)
	}
}
