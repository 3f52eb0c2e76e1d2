package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornspar/core/entity"
)

// Headers of this fleet beside the chat-completions protocol.
const (
	HeaderKey    = "Idempotency-Key"
	HeaderRank   = "Hawthornspar-Rank"
	HeaderNotRun = "Hawthornspar-Not-Run"
	HeaderBilled = "Hawthornspar-Billed"
	HeaderVM     = "Hawthornspar-Vm"
)

// headerMayHaveRun goes with a forwarded request that an endpoint may have run.
const headerMayHaveRun = "Hawthornspar-May-Have-Run"

// failure is an error in the protocol's own form.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not_run"`
}

// InputError says what is wrong with a caller's request.
type InputError struct {
	Code    string
	Message string
	Status  int
}

// Error implements error.
func (e *InputError) Error() string { return e.Message }

// outcome is how a reason is told to callers.
type outcome struct {
	reason  entity.Reason
	status  int
	message string
}

var outcomes = []outcome{
	{entity.ReasonUnauthorized, http.StatusUnauthorized, "unauthorized"},
	{entity.ReasonUnknownService, http.StatusNotFound, "no such model or service"},
	{entity.ReasonMissingLimit, http.StatusBadRequest, "max_tokens is required: it bounds what the request may cost"},
	{entity.ReasonLimitTooLarge, http.StatusBadRequest, "max_tokens is above the model's limit"},
	{entity.ReasonKeyReused, http.StatusUnprocessableEntity, "this Idempotency-Key was used for another request"},
	{entity.ReasonBudgetExhausted, http.StatusPaymentRequired, "the prepaid budget does not cover this request's worst case"},
	{entity.ReasonBudgetUnreachable, http.StatusServiceUnavailable, "the budget cannot be reached now"},
	{entity.ReasonClaimUnreachable, http.StatusServiceUnavailable, "the request cannot be protected against running twice now"},
	{entity.ReasonOverloaded, http.StatusTooManyRequests, "no endpoint can serve the request in time"},
	{entity.ReasonNoEndpoint, http.StatusServiceUnavailable, "no endpoint serves this now"},
	{entity.ReasonQuarantined, http.StatusUnprocessableEntity, "endpoints died while running this request; an operator must release it"},
	{entity.ReasonStopping, http.StatusServiceUnavailable, "this entry is stopping; send the request again"},
	{entity.ReasonNotReady, http.StatusServiceUnavailable, "this entry is starting; send the request again"},
	{entity.ReasonOutcomeUnknown, http.StatusConflict, "the request may have run and its outcome is not known; it will not run again"},
	{entity.ReasonEndpointFailed, http.StatusBadGateway, "endpoints failed while serving the request"},
	{entity.ReasonAnswerInterrupted, http.StatusBadGateway, "the answer broke off"},
	{entity.ReasonRetryBudgetSpent, http.StatusServiceUnavailable, "an endpoint failed and retries are used up now"},
	{entity.ReasonEndpointRejected, http.StatusBadRequest, "the endpoint rejected the request"},
	{entity.ReasonForwardUnreachable, http.StatusServiceUnavailable, "the entry that holds tokens cannot be reached"},
}

func outcomeOf(reason entity.Reason) outcome {
	for _, o := range outcomes {
		if o.reason == reason {
			return o
		}
	}
	return outcome{reason, http.StatusInternalServerError, string(reason)}
}

func failureOf(r entity.Refusal) failure {
	o := outcomeOf(r.Reason)
	return failure{Error: failureBody{
		Message: o.message, Type: "refusal", Code: string(r.Reason), NotRun: r.NotRun(),
	}}
}

// writeRefusal answers with a refusal's status and body.
func writeRefusal(w http.ResponseWriter, r entity.Refusal) {
	w.Header().Set(HeaderNotRun, strconv.FormatBool(r.NotRun()))
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		w.Header().Set("Retry-After", fmt.Sprintf("%.0f", seconds))
	}
	writeJSON(w, outcomeOf(r.Reason).status, failureOf(r))
}

// writeInputError answers input that never became a request.
func writeInputError(w http.ResponseWriter, e *InputError) {
	w.Header().Set(HeaderNotRun, "true")
	writeJSON(w, e.Status, failure{Error: failureBody{
		Message: e.Message, Type: "invalid_request_error", Code: e.Code, NotRun: true,
	}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(raw, '\n'))
}

// writeTimeout bounds one write to a slow caller.
const writeTimeout = 10 * time.Second
