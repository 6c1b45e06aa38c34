package proto

// AccountDemand is what a client account has recently asked of an entry.
type AccountDemand struct {
	Account string `cbor:"1,keyasint"`
	Rate    int    `cbor:"2,keyasint"` // tokens a second
}

// EntryDemand is the demand that an entry has told in its last beat.
type EntryDemand struct {
	Entry    string          `cbor:"1,keyasint"`
	Accounts []AccountDemand `cbor:"2,keyasint"`
}
