package faultinjection

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// connectionTimeout bounds how long a client waits to connect, to send a request or to read its answer.
const connectionTimeout = 10 * time.Second

// httpClient is a client of the platform's protocol that keeps its connection open. It is for one goroutine.
type httpClient struct {
	address string   // of the coordinator
	conn    net.Conn // nil if there is none
	reader  *bufio.Reader
}

// setConnection makes conn the client's connection.
func (client *httpClient) setConnection(conn net.Conn) {
	client.conn, client.reader = conn, bufio.NewReader(conn)
}

// disconnect closes the connection, if there is one.
func (client *httpClient) disconnect() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// roundTrip sends a request and reads its answer, and opens a connection first if there is none. The status is
// OutcomeConnectFailed if the connection cannot be opened, and empty if no readable answer arrives.
func (client *httpClient) roundTrip(request string) (a answer, status string, err error) {
	if client.conn == nil {
		conn, err := net.DialTimeout("tcp", client.address, connectionTimeout)
		if err != nil {
			return a, OutcomeConnectFailed, err
		}
		client.setConnection(conn)
	}
	client.conn.SetDeadline(time.Now().Add(connectionTimeout))
	if _, err := io.WriteString(client.conn, request); err != nil {
		return a, "", err
	}
	return client.readAnswer()
}

// readAnswer reads the answer to the latest request. The status is the HTTP status code in digits.
func (client *httpClient) readAnswer() (a answer, status string, err error) {
	client.conn.SetDeadline(time.Now().Add(connectionTimeout))
	res, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return a, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	a.duplicated = client.reader.Buffered() > 0
	if res.Close {
		client.disconnect()
	}
	return a, fmt.Sprint(res.StatusCode), err
}
