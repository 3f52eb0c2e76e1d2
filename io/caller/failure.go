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

// HTTP headers that this system adds to the chat-completions protocol.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRank           = "Hawthornspar-Rank"
	HeaderNotRun         = "Hawthornspar-Not-Run"
	HeaderBilledTokens   = "Hawthornspar-Billed"
	HeaderVM             = "Hawthornspar-Vm"
)

// headerMayHaveRun marks a forwarded request that an endpoint may already have run.
const headerMayHaveRun = "Hawthornspar-May-Have-Run"

// headerCrashedEndpoint names an endpoint that crashed while it ran a forwarded request;
// one header for each.
const headerCrashedEndpoint = "Hawthornspar-Crashed-Endpoint"

// errorResponse is the JSON body of an error in the chat-completions protocol.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not_run"`
}

// InputError describes why a caller's request is invalid and the HTTP status
// of the response.
type InputError struct {
	Code    string
	Message string
	Status  int
}

// Error implements error.
func (e *InputError) Error() string { return e.Message }

// reasonResponse is the HTTP status and message that callers get for a reason.
type reasonResponse struct {
	reason  entity.Reason
	status  int
	message string
}

var reasonResponses = []reasonResponse{
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
	{entity.ReasonShuttingDown, http.StatusServiceUnavailable, "this entry is stopping; send the request again"},
	{entity.ReasonNotReady, http.StatusServiceUnavailable, "this entry is starting; send the request again"},
	{entity.ReasonOutcomeUnknown, http.StatusConflict, "the request may have run and its outcome is not known; it will not run again"},
	{entity.ReasonEndpointFailed, http.StatusBadGateway, "endpoints failed while serving the request"},
	{entity.ReasonResponseInterrupted, http.StatusBadGateway, "the answer broke off"},
	{entity.ReasonRetryBudgetSpent, http.StatusServiceUnavailable, "an endpoint failed and retries are used up now"},
	{entity.ReasonEndpointRejected, http.StatusBadRequest, "the endpoint rejected the request"},
	{entity.ReasonForwardUnreachable, http.StatusServiceUnavailable, "the entry that holds tokens cannot be reached"},
}

// responseTo returns the response for a reason. A reason without an entry is an
// internal error whose message is the reason itself.
func responseTo(reason entity.Reason) reasonResponse {
	for _, rr := range reasonResponses {
		if rr.reason == reason {
			return rr
		}
	}
	return reasonResponse{reason, http.StatusInternalServerError, string(reason)}
}

func newErrorResponse(r entity.Refusal) errorResponse {
	rr := responseTo(r.Reason)
	return errorResponse{Error: errorDetail{
		Message: rr.message, Type: "refusal", Code: string(r.Reason), NotRun: r.NotRun(),
	}}
}

// writeRefusal writes the HTTP response for a refusal.
func writeRefusal(w http.ResponseWriter, r entity.Refusal) {
	w.Header().Set(HeaderNotRun, strconv.FormatBool(r.NotRun()))
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		w.Header().Set("Retry-After", fmt.Sprintf("%.0f", seconds))
	}
	writeJSON(w, responseTo(r.Reason).status, newErrorResponse(r))
}

// writeInputError writes the HTTP response for invalid input, which never
// became a request and so cannot have run.
func writeInputError(w http.ResponseWriter, e *InputError) {
	w.Header().Set(HeaderNotRun, "true")
	writeJSON(w, e.Status, errorResponse{Error: errorDetail{
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

// writeTimeout limits how long the write of one event to a slow caller may take.
const writeTimeout = 10 * time.Second
