package lifecycle

import (
	"errors"
	"log/slog"
	"path/filepath"
	"time"

	"harepass/internal/config"
	"harepass/internal/listexchange"
	"harepass/internal/logmsg"
	"harepass/internal/operator"
)

// How state passes from one process of a coordinator to the next:
//
//  1. While the old process runs, its operator.Store writes a state file into StateFolder after each change. The file
//     has the replicas that are out for maintenance, the endpoint list with the address of the discovery service that
//     it came from, and the checkpoint of what the coordinator has learned. Each process writes a file of its own.
//  2. The new process reads the files of all other processes before it creates its coordinator (openStore). It starts
//     with the stored endpoint list, unless its configuration has a later version from the same discovery service
//     (chooseFirstList). So it need not wait for discovery, and sends nothing to a replica that this list has as
//     draining. It restores the latest checkpoint if that is recent (loadInitialState), and takes over all maintenance
//     entries (openAdminEndpoint).
//  3. While both run, each learns within 0.1 s what discovery has told the other: changes of the list, and that it was
//     the latest one (package listexchange). So a change binds both, and the list expires for both at about one time.
//     The new process says that it is ready whether or not its list has expired: a process with a valid list would have
//     passed it on, and clients get a rejection instead of no answer.
//  4. If the platform holds the clients' listener (PROXY_FD), the new process accepts from it only after its
//     coordinator has left the phase Starting (serveFronts); until then only the old process accepts. While both run,
//     each reads the other's file, so that an operator's call to either process applies to both.
//  5. On SIGTERM the old process stops accepting from the platform's listener, answers the requests that it has, and
//     ends (drain). A killed process leaves its last file, which the next process reads in the same way.
//
// A coordinator without an admin endpoint stores nothing and starts with its configuration's endpoint list. One whose
// list comes from relays starts with the stored list but exchanges no changes.

// StateFolder is the name of the folder for state files, within the folder that TMPDIR names. The platform keeps the
// contents of TMPDIR when it starts a new version beside the old one.
const StateFolder = "harepass"

// ErrNoStateFolder means that TMPDIR is not set, so this process can store nothing for the next one.
var ErrNoStateFolder = errors.New("TMPDIR is not set: there is no folder for state files")

// openStore reads the state that other processes stored, if there is an admin endpoint. If the folder cannot be
// opened, operators' calls are still answered, but their effect ends with this process.
func (p *process) openStore() {
	if p.Platform.AdminAddress == "" {
		return
	}
	files, err := p.openStateFolder()
	if err != nil {
		slog.Error("operator calls not persisted", logmsg.KeyError, err)
	}
	p.store = operator.NewStore(p.Platform.Name, files, p.clock)
	if files != nil && !p.Distribution.Takes(config.ResourceEndpoints) {
		p.openListExchange(files)
	}
}

// openListExchange opens the exchange of list records beside the state files. Without the machine's clock, processes
// start with the stored list as if discovery had just confirmed it.
func (p *process) openListExchange(files *operator.StateDir) {
	clock, err := listexchange.MachineClock()
	if err != nil {
		slog.Error("endpoint list not shared with other processes", logmsg.KeyError, err)
		return
	}
	p.listExchange = listexchange.Open(files.OwnPath(), p.Platform.Name, p.clock, clock)
}

// openStateFolder opens the folder for state files. An error is ErrNoStateFolder or comes from the operating system.
func (p *process) openStateFolder() (*operator.StateDir, error) {
	dir := p.env("TMPDIR")
	if dir == "" {
		return nil, ErrNoStateFolder
	}
	return operator.OpenStateDir(filepath.Join(dir, StateFolder), time.Now())
}
