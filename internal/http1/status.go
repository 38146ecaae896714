package http1

// Status codes that this program sends, or treats differently from others.
const (
	StatusOK                   = 200
	StatusCreated              = 201
	StatusNoContent            = 204
	StatusNotModified          = 304
	StatusBadRequest           = 400
	StatusForbidden            = 403
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusContentTooLarge      = 413
	StatusTooManyRequests      = 429
	StatusHeaderFieldsTooLarge = 431
	StatusInternalServerError  = 500
	StatusNotImplemented       = 501
	StatusBadGateway           = 502
	StatusServiceUnavailable   = 503
	StatusGatewayTimeout       = 504
	StatusVersionNotSupported  = 505
)

const (
	// firstStatus is the lowest status code.
	firstStatus = 100
	// firstFinalStatus is the lowest status code of a final answer: an answer with a lower code is followed by another.
	firstFinalStatus = 200
	// statusDigits is the number of digits in a status code.
	statusDigits = 3
)

// reasons are the reason phrases of the status codes that this program sends.
var reasons = map[int]string{
	StatusOK:                   "OK",
	StatusCreated:              "Created",
	StatusBadRequest:           "Bad Request",
	StatusForbidden:            "Forbidden",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusRequestTimeout:       "Request Timeout",
	StatusConflict:             "Conflict",
	StatusContentTooLarge:      "Content Too Large",
	StatusTooManyRequests:      "Too Many Requests",
	StatusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:  "Internal Server Error",
	StatusNotImplemented:       "Not Implemented",
	StatusBadGateway:           "Bad Gateway",
	StatusServiceUnavailable:   "Service Unavailable",
	StatusGatewayTimeout:       "Gateway Timeout",
	StatusVersionNotSupported:  "HTTP Version Not Supported",
}
