package proto

// AccountDemand is the recent demand of a client account at one entry.
type AccountDemand struct {
	Account string `cbor:"1,keyasint"`
	Rate    int    `cbor:"2,keyasint"` // tokens per second
}

// EntryDemand is the demand that an entry has sent in its last heartbeat.
type EntryDemand struct {
	Entry    string          `cbor:"1,keyasint"`
	Accounts []AccountDemand `cbor:"2,keyasint"`
}
