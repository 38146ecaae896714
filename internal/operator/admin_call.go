package operator

import (
	"fmt"
	"strings"
)

// Handler carries out calls. An error says why a call was not carried out, and its text is sent to the caller. The
// methods may be called from several goroutines at once.
type Handler interface {
	// Status returns nil if the coordinator is ready for queries.
	Status() error
	// StartMaintenance takes a replica out for maintenance. by is the caller's address.
	StartMaintenance(id, by string) error
	// EndMaintenance ends a replica's maintenance. by is the caller's address.
	EndMaintenance(id, by string) error
}

// Names of the calls, part of the protocol with operators' tools.
const (
	statusCall           = "status"
	startMaintenanceCall = "maint-on"
	endMaintenanceCall   = "maint-off"
)

// idCount is how many replica ids each call takes.
var idCount = map[string]int{statusCall: 0, startMaintenanceCall: 1, endMaintenanceCall: 1}

// CallError says why a line is not a valid call. Its text is part of the protocol with operators' tools.
type CallError struct{ Problem string }

// Error implements error.
func (e *CallError) Error() string { return e.Problem }

var errLineTooLong = &CallError{fmt.Sprintf("the line is longer than %d bytes", maxLineBytes)}

// answer returns the line that answers a call: 200 on success, or 400 with the error's text. The line is part of the
// protocol with operators' tools.
func answer(err error) string {
	if err != nil {
		return "400 " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return "200 ok\n"
}

// handle parses a line and carries out the call in it.
func (s *AdminServer) handle(line, by string) error {
	call, id, err := parseCall(line)
	switch {
	case err != nil:
		return err
	case call == statusCall:
		return s.Handler.Status()
	case call == startMaintenanceCall:
		return s.Handler.StartMaintenance(id, by)
	default:
		return s.Handler.EndMaintenance(id, by)
	}
}

// parseCall parses the line of a call. An error is a *CallError. Parsing is strict, because a misread call could take
// the wrong replica out for maintenance.
func parseCall(line string) (call, id string, err error) {
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	n, known := idCount[words[0]]
	switch {
	case !known:
		problem := fmt.Sprintf("unknown call %.40q; there are status, maint-on ID and maint-off ID", words[0])
		return "", "", &CallError{problem}
	case len(words) != 1+n:
		return "", "", &CallError{fmt.Sprintf("%s takes %d ids, got %d words", words[0], n, len(words)-1)}
	case n == 0:
		return words[0], "", nil
	case words[1] == "" || strings.ContainsFunc(words[1], notInID):
		return "", "", &CallError{fmt.Sprintf("%.40q is no node's id", words[1])}
	}
	return words[0], words[1], nil
}

// notInID reports whether a character cannot be part of a replica's id: a space, a control character or invalid UTF-8.
func notInID(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }
