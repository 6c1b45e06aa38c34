package relay

import "time"

// Reasons for answers of this program's own, in logs and metrics.
const (
	reasonNoConfig   = "no-configuration"
	reasonNoRoute    = "no-route"
	reasonNoAccount  = "unknown-key"
	reasonDraining   = "draining"
	reasonTooLarge   = "body-too-large"
	reasonBodyBroken = "body-incomplete"
	reasonNoReplica  = "no-replica"
	reasonOverload   = "overload"
	reasonNotRun     = "not-run"
	reasonNoMemory   = "no-memory"
	reasonUnreached  = "unreachable"
	reasonSendFailed = "send-failed"
	reasonHeaders    = "headers-too-large"
	reasonTimeout    = "time-limit"
	reasonFailed     = "replica-failed"
	reasonBroken     = "stream-broken"
	reasonHeld       = "reservation-unused"
	reasonLeft       = "client-left"
	reasonBlamed     = "crashes-replicas"
	reasonDone       = "done"
)

// Time limits of calls.
const (
	defaultTimeLimit = 60 * time.Second
	// leastTime is the time below which a call is not sent to a replica any more.
	leastTime = 15 * time.Millisecond
	// bodyTimeout bounds the wait for a client's body where the operator sets no limit.
	bodyTimeout = 10 * time.Second
)

// Bounds of a refused client's return. They are spread, so that refused clients do not return together.
const (
	leastRetryAfter  = 100 * time.Millisecond
	spreadRetryAfter = 400 * time.Millisecond
)

// Return of clients whose prompt takes too much from others: phases of load last for seconds.
const (
	leastOverload  = 2200 * time.Millisecond
	spreadOverload = 800 * time.Millisecond
)

// Return of clients while the store is away at the start of the process.
const (
	startTime    = time.Second
	leastOutage  = time.Second
	spreadOutage = 2 * time.Second
	// rulesShare is the part of a client's time that a call waits for a configuration at most: an eighth.
	rulesShare    = 8
	rulesInterval = 10 * time.Millisecond // between two looks for a configuration
)

// maxSends bounds how often one call is sent in all, with the replicas that did not run it.
const maxSends = 5
