package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Query is a request of the platform's protocol.
type Query struct {
	ID     string
	Class  string
	Tenant string
	Budget time.Duration
	Shards []int
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 if the connection failed
	Entire bool
	Items  map[int]string
	Err    error
	Took   time.Duration
}

// Client sends queries to one coordinator.
type Client struct {
	Address string
	http    http.Client
}

// NewClient returns a client with connections of its own, which it keeps.
func NewClient(address string) *Client {
	return &Client{Address: address, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Ready reports whether the coordinator is ready.
func (cl *Client) Ready() bool {
	r, err := cl.http.Get("http://" + cl.Address + "/health/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// DoOnce sends a query on a connection that it closes after the answer.
func (cl *Client) DoOnce(q Query) Answer {
	defer cl.http.CloseIdleConnections()
	return cl.Do(q)
}

// Do sends a query and waits for its answer, for a second longer than its budget.
func (cl *Client) Do(q Query) (a Answer) {
	type slice struct {
		Slice int     `json:"slice"`
		Mass  float64 `json:"mass"`
	}
	var body struct {
		Slices []slice `json:"slices"`
		Filter string  `json:"filter"`
	}
	for _, s := range q.Shards {
		body.Slices = append(body.Slices, slice{s, 1 / float64(len(q.Shards))})
	}
	body.Filter = "c41e77d0"
	text, _ := json.Marshal(body)
	req, _ := http.NewRequest("POST", "http://"+cl.Address+"/api", bytes.NewReader(text))
	req.Header.Set("X-Call-Id", q.ID)
	req.Header.Set("X-Call-Class", q.Class)
	req.Header.Set("X-Caller", q.Tenant)
	req.Header.Set("X-Budget", fmt.Sprintf("%dm", q.Budget.Milliseconds()))
	began := time.Now()
	c := cl.http
	c.Timeout = q.Budget + time.Second
	r, err := c.Do(req)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	data, err := io.ReadAll(r.Body)
	r.Body.Close()
	a = Answer{Status: r.StatusCode, Err: err, Took: time.Since(began), Items: map[int]string{}}
	var got struct {
		Entire bool `json:"entire"`
		Items  []struct {
			Slice int    `json:"slice"`
			Body  string `json:"body"`
		} `json:"items"`
	}
	if a.Status == http.StatusOK && json.Unmarshal(data, &got) == nil {
		a.Entire = got.Entire
		for _, i := range got.Items {
			a.Items[i.Slice] = i.Body
		}
	}
	return a
}
