package proto

// Segment restricts an attempt to a part of a prompt that is split over several engines. The agent responds with Accept
// when it has reserved memory for the segment, and otherwise with a Result at once. The engine does not start before
// Begin.
type Segment struct {
	From int `cbor:"1,keyasint"`           // index of the segment's first token in the prompt
	To   int `cbor:"2,keyasint,omitempty"` // index after its last token; 0 for the rest of the prompt and the output
}

// Begin starts the prefill of a Segment. The body of the request follows.
type Begin struct {
	EarlierSegments []string `cbor:"1,keyasint,omitempty"` // ADDRESS/ID of each earlier segment, in order
}

// SegmentReady tells the entry that the engine has prefilled the segment and keeps its KV cache. A later Result means
// that the segment is lost.
type SegmentReady struct{}
