package fake

import (
	"net/http"
	"strconv"
	"time"
)

// Statuses of an endpoint, as discovery writes them.
const (
	StatusInService   = "in_service"
	StatusTerminating = "terminating" // the endpoint drains; callers must send it nothing new
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

// EndpointList is an answer of discovery: the complete list, or the changes since the version that the caller has.
type EndpointList struct {
	Index     int64      `json:"index"` // the list's version
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Poll is a call to discovery.
type Poll struct {
	From int64         // version that the caller has; negative for none
	Wait time.Duration // how long discovery may wait for a newer version
}

// ParsePoll reads a Poll from its request. An unreadable version counts as none, an unreadable wait as 0.
func ParsePoll(req *http.Request) Poll {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	milliseconds, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	return Poll{From: from, Wait: time.Duration(milliseconds) * time.Millisecond}
}
