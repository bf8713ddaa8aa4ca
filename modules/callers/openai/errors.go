package openai

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// errorBody is the body of every error response: OpenAI's format with the additional
// fields run and resend_safe.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the number of the result code. It is a string as in the OpenAI API.
	Code  string  `json:"code"`
	Param *string `json:"param"`
	// Run says whether the request was run: "no", "yes" or "unknown".
	Run string `json:"run"`
	// ResendSafe is true if sending the request again cannot run it twice.
	ResendSafe bool `json:"resend_safe"`
}

func newErrorBody(failure *result.Error) errorBody {
	entry := failure.Code.Entry()
	return errorBody{Error: errorDetail{
		Message: failure.Message, Type: entry.Name, Code: strconv.Itoa(int(failure.Code)),
		Run: entry.Ran.String(), ResendSafe: entry.ResendSafe,
	}}
}

// Response headers that repeat the result for callers that do not read the body.
const (
	headerResultCode = "X-Result-Code"
	headerRun        = "X-Run"
	// headerShouldRetry tells OpenAI's client libraries not to retry. It is set only if
	// resending is not safe, and its value is then "false".
	headerShouldRetry = "X-Should-Retry"
	headerRetryAfter  = "Retry-After"
)

func writeError(c fiber.Ctx, failure *result.Error) error {
	entry := failure.Code.Entry()
	c.Set(headerResultCode, strconv.Itoa(int(failure.Code)))
	c.Set(headerRun, entry.Ran.String())
	if !entry.ResendSafe {
		c.Set(headerShouldRetry, "false")
	}
	if failure.RetryAfter > 0 {
		c.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	return c.Status(entry.HTTPStatus).JSON(newErrorBody(failure))
}

func encodeError(failure *result.Error) []byte {
	encoded, err := json.Marshal(newErrorBody(failure))
	if err != nil {
		return []byte(`{"error":{"message":"error cannot be encoded"}}`)
	}
	return encoded
}
