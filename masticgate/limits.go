package masticgate

import "time"

// Limits bound the resources that callers may use on this host.
type Limits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxBodiesBytes bounds the bodies of all running requests together.
	MaxBodiesBytes int64 `json:"maxBodiesBytes"`
	MaxHeaderBytes int   `json:"maxHeaderBytes"`
	// MaxJSONDepth bounds the nesting of a request body.
	MaxJSONDepth int `json:"maxJsonDepth"`
	// MaxStoredAnswerBytes bounds the copy of a response that the ledger keeps.
	MaxStoredAnswerBytes int `json:"maxStoredAnswerBytes"`
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// HeaderMillis and BodyMillis bound the time in which a caller sends the header and the body.
	HeaderMillis int64 `json:"headerMillis"`
	BodyMillis   int64 `json:"bodyMillis"`
	// IdleMillis bounds the time between two requests on a connection.
	IdleMillis int64 `json:"idleMillis"`
	// CallerWriteMillis bounds the time in which a caller reads one chunk of a response.
	CallerWriteMillis int64 `json:"callerWriteMillis"`
	// RequestMillis is the timeout of a request that states none. MaxRequestMillis bounds the
	// timeout of any request.
	RequestMillis    int64 `json:"requestMillis"`
	MaxRequestMillis int64 `json:"maxRequestMillis"`
	// OrderMillis is the timeout of a call that may not be repeated.
	OrderMillis int64 `json:"orderMillis"`
	// RecordMillis bounds the time spent on recording an outcome before the response is sent.
	RecordMillis int64 `json:"recordMillis"`
}

// DefaultLimits returns the limits that New uses unless WithLimits is given.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:         32 << 20,
		MaxBodiesBytes:       512 << 20,
		MaxHeaderBytes:       64 << 10,
		MaxJSONDepth:         64,
		MaxStoredAnswerBytes: 64 << 10,
		MaxAttempts:          4,
		HeaderMillis:         10_000,
		BodyMillis:           30_000,
		IdleMillis:           120_000,
		CallerWriteMillis:    30_000,
		RequestMillis:        120_000,
		MaxRequestMillis:     600_000,
		OrderMillis:          30_000,
		RecordMillis:         5_000,
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
