package operator

import (
	"fmt"
	"strings"
)

// Handler does what calls ask for. An error says why that was not done, and is shown to the caller. Its methods may be
// called from several goroutines at once.
type Handler interface {
	// Status returns nil where the coordinator is ready for queries.
	Status() error
	// StartMaintenance takes a replica out. by is the caller's address.
	StartMaintenance(id, by string) error
	// EndMaintenance calls a replica back. by is the caller's address.
	EndMaintenance(id, by string) error
}

// The calls. They are wire.
const (
	statusCall           = "status"
	startMaintenanceCall = "maint-on"
	endMaintenanceCall   = "maint-off"
)

// idCount is how many replica ids each call takes.
var idCount = map[string]int{statusCall: 0, startMaintenanceCall: 1, endMaintenanceCall: 1}

// CallError says what is wrong with a line that is no call. Its text is wire.
type CallError struct{ Problem string }

// Error implements error.
func (e *CallError) Error() string { return e.Problem }

var errLineTooLong = &CallError{fmt.Sprintf("the line is longer than %d bytes", maxLineBytes)}

// answer is the line that answers a call with an outcome. It is wire.
func answer(err error) string {
	if err != nil {
		return "400 " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return "200 ok\n"
}

// handle does what a line asks for.
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

// parseCall reads a call; an error is a *CallError. It is strict, for a call that is misread takes out the wrong
// replica.
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

// notInID reports whether a character cannot be part of a replica's id: spaces, control characters, invalid UTF-8.
func notInID(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }
