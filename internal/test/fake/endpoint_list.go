package fake

import (
	"net/http"
	"strconv"
	"time"
)

// Statuses of an endpoint, in the form of discovery.
const (
	StatusInService   = "in_service"
	StatusTerminating = "terminating" // it drains, and is to be sent nothing new
	StatusTerminated  = "terminated"
)

// Endpoint is a replica as discovery lists it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // start of the process, in Unix milliseconds
}

// EndpointList is an answer of discovery: the complete list, or what has changed since the version that a caller has.
type EndpointList struct {
	Index     int64      `json:"index"` // the list's version
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Poll is a call to discovery.
type Poll struct {
	From int64         // the version that the caller has; below 0 for none
	Wait time.Duration // for how long discovery may wait for a newer version
}

// ParsePoll reads a call from its request. A version that cannot be read counts as none, a wait as 0.
func ParsePoll(req *http.Request) Poll {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	milliseconds, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	return Poll{From: from, Wait: time.Duration(milliseconds) * time.Millisecond}
}
