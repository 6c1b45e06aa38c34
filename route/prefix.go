package route

const (
	// prefixBlocks is the number of prompt blocks that are remembered for an agent. At 1,024 tokens each this is about
	// twice the KV memory of an engine, which it shares among its cached prefixes.
	prefixBlocks = 1024
	// blockTokens is the length of a block: edge.PrefixBlock bytes.
	blockTokens = 1024
)

// prefixes remembers the prompt blocks that were last sent to an agent, since the engine probably has them cached.
type prefixes struct {
	ring  []uint64
	next  int
	count map[uint64]int // occurrences in ring
}

func (pre *prefixes) init() {
	pre.count = make(map[uint64]int)
}

// cached returns the number of leading tokens that are probably cached.
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
			pre.drop(pre.ring[pre.next])
			pre.ring[pre.next] = sum
		}
		pre.next = (pre.next + 1) % prefixBlocks
		pre.count[sum]++
	}
}

func (pre *prefixes) drop(sum uint64) {
	pre.count[sum]--
	if pre.count[sum] <= 0 {
		delete(pre.count, sum)
	}
}
