package entity

import (
	"fmt"
	"time"
)

// Reason names why a request was refused or failed.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonUnauthorized       Reason = "unauthorized"
	ReasonUnknownService     Reason = "unknownService"
	ReasonMissingLimit       Reason = "missingLimit"
	ReasonLimitTooLarge      Reason = "limitTooLarge"
	ReasonKeyReused          Reason = "idempotencyKeyReused"
	ReasonBudgetExhausted    Reason = "budgetExhausted"
	ReasonBudgetUnreachable  Reason = "budgetUnreachable"
	ReasonClaimUnreachable   Reason = "claimUnreachable"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoEndpoint         Reason = "noEndpoint"
	ReasonQuarantined        Reason = "quarantined"
	ReasonStopping           Reason = "stopping"
	ReasonNotReady           Reason = "notReady"
	ReasonOutcomeUnknown     Reason = "outcomeUnknown"
	ReasonEndpointFailed     Reason = "endpointFailed"
	ReasonAnswerInterrupted  Reason = "answerInterrupted"
	ReasonRetryBudgetSpent   Reason = "retryBudgetSpent"
	ReasonEndpointRejected   Reason = "endpointRejected"
	ReasonForwardUnreachable Reason = "forwardUnreachable"
)

// Refusal ends a request without a whole answer.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	notRun     bool
}

// NotRun tells whether no endpoint can have run the request. Only a Request
// that never reached an endpoint yields true.
func (r Refusal) NotRun() bool { return r.notRun }

// Error implements error.
func (r Refusal) Error() string { return fmt.Sprintf("refused: %s", r.Reason) }

// Refuse ends the request for reason. NotRun follows from the request's own
// record of what was sent; no caller can set it.
func (r *Request) Refuse(reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{Reason: reason, RetryAfter: retryAfter, notRun: !r.Exposed()}
}
