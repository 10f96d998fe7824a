package jayplatform

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
)

// classifyError returns a NotRunError for a request that was never sent, otherwise a
// NoAnswerError, since the request may have taken effect.
func classifyError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &NotRunError{Cause: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return &NotRunError{Cause: err.Error()}
	}
	return &jayhttp.NoAnswerError{Operation: "run", Cause: err.Error()}
}
