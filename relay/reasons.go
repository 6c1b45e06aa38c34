package relay

import (
	"math/rand"
	"time"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// Reasons why calls are refused, why attempts fail and how calls end, as they appear in error responses, logs and
// metrics.
const (
	reasonNoConfig          = "no-configuration"
	reasonNoRoute           = "no-route"
	reasonUnknownKey        = "unknown-key"
	reasonDraining          = "draining"
	reasonBodyTooLarge      = "body-too-large"
	reasonBodyIncomplete    = "body-incomplete"
	reasonNoReplica         = "no-replica"
	reasonNoReplicaInRegion = "no-replica-in-region"
	reasonOverload          = "overload"
	reasonReplicasPause     = "replicas-pause"
	reasonReplicasLeave     = "replicas-leave"
	reasonEvacuated         = "evacuated"
	reasonReplicasWarmingUp = "replicas-warming-up"
	reasonNotRun            = "not-run"
	reasonNoMemory          = "no-memory"
	reasonUnreachable       = "unreachable"
	reasonSendFailed        = "send-failed"
	reasonHeadersTooLarge   = "headers-too-large"
	reasonTimeLimit         = "time-limit"
	reasonReplicaFailed     = "replica-failed"
	reasonStreamBroken      = "stream-broken"
	reasonReservationUnused = "reservation-unused"
	reasonClientLeft        = "client-left"
	reasonCrashesReplicas   = "crashes-replicas"
	reasonStalled           = "stalled"
	reasonOvertaken         = "overtaken"
	reasonUnread            = "unread"
	reasonBuffersFull       = "buffers-full"
	reasonDone              = "done"
)

// Time limits of calls.
const (
	defaultTimeLimit = rules.DefaultTimeLimit
	// minAttemptTime is the remaining time below which a call is not sent to a replica.
	minAttemptTime = 15 * time.Millisecond
	// bodyTimeout bounds the time in which a client must send the body.
	bodyTimeout = 10 * time.Second
)

// Retry-After times of refused calls. The jitter keeps refused clients from retrying at the same moment.
const (
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
)

// Times that apply while the process has no configuration.
const (
	// startupTime is the time after its start by which a process has a configuration, unless the store is unavailable.
	startupTime = time.Second
	// minOutageRetryAfter is the shortest Retry-After time while the store is unavailable. It also bounds the time that
	// a call waits for a configuration.
	minOutageRetryAfter    = time.Second
	outageRetryAfterJitter = 2 * time.Second
	// A call waits for a configuration for at most its time limit divided by rulesWaitDivisor.
	rulesWaitDivisor  = 8
	rulesPollInterval = 10 * time.Millisecond // at which a waiting call looks for a configuration
)

// maxTotalAttempts bounds the attempts of a call, including those in which it did not run. The route's MaxAttempts
// limits only the attempts in which it may have run.
const maxTotalAttempts = 5

// randomRetryAfter returns a short Retry-After time for a refused call.
func randomRetryAfter() time.Duration {
	return withJitter(minRetryAfter, retryAfterJitter)
}

// withJitter returns base plus a random time below jitter, so that refused clients do not retry at the same moment.
func withJitter(base, jitter time.Duration) time.Duration {
	return base + time.Duration(rand.Int63n(int64(jitter)))
}
