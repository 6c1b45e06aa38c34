package proto

// Segment makes an attempt cover a part of a prompt that several engines share. The agent answers with Accept once it
// holds memory for the part, or with a Result at once. Nothing runs before Begin.
type Segment struct {
	From int `cbor:"1,keyasint"`           // first token of the prompt
	To   int `cbor:"2,keyasint,omitempty"` // token after the last one; 0 for the rest of the prompt and the output
}

// Begin starts the work of a Segment. The body follows.
type Begin struct {
	Earlier []string `cbor:"1,keyasint,omitempty"` // ADDRESS/ID of each earlier segment, in order
}

// Held tells the entry that the engine has prefilled the segment and holds it. A Result later means that it is lost.
type Held struct{}
