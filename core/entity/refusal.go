package entity

import (
	"fmt"
	"time"

	"hawthornspar/core/notrun"
)

// Reason identifies why a request was refused or failed.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonUnknownService      Reason = "unknownService"
	ReasonMissingLimit        Reason = "missingLimit"
	ReasonLimitTooLarge       Reason = "limitTooLarge"
	ReasonKeyReused           Reason = "idempotencyKeyReused"
	ReasonBudgetExhausted     Reason = "budgetExhausted"
	ReasonBudgetUnreachable   Reason = "budgetUnreachable"
	ReasonClaimUnreachable    Reason = "claimUnreachable"
	ReasonOverloaded          Reason = "overloaded"
	ReasonNoEndpoint          Reason = "noEndpoint"
	ReasonQuarantined         Reason = "quarantined"
	ReasonShuttingDown        Reason = "stopping"
	ReasonNotReady            Reason = "notReady"
	ReasonOutcomeUnknown      Reason = "outcomeUnknown"
	ReasonEndpointFailed      Reason = "endpointFailed"
	ReasonResponseInterrupted Reason = "answerInterrupted"
	ReasonRetryBudgetSpent    Reason = "retryBudgetSpent"
	ReasonEndpointRejected    Reason = "endpointRejected"
	ReasonForwardUnreachable  Reason = "forwardUnreachable"
)

// Refusal is the error that ends a request without a complete response.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	statement  notrun.Statement
}

// NotRun reports whether it is certain that no endpoint ran the request.
func (r Refusal) NotRun() bool { return r.statement.NotRun() }

// Error implements error.
func (r Refusal) Error() string { return fmt.Sprintf("refused: %s", r.Reason) }

// Refuse returns a refusal of the request. Its NotRun is derived from the
// request's record of attempts, so that no caller can set it wrongly.
func (r *Request) Refuse(reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{Reason: reason, RetryAfter: retryAfter, statement: r.runs.Statement()}
}
