package lifecycle

import (
	"errors"
	"log/slog"
	"path/filepath"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/operator"
)

// The story of a hand-over, from one process of a coordinator to the next:
//
//  1. While the old process runs, its operator.Store writes a state file into StateFolder after each change: which
//     replicas are out for maintenance, the endpoint list with the address of the discovery that it came from, and the
//     checkpoint of what the coordinator has learned. Each process writes a file of its own.
//  2. The new process reads the files of all others before its coordinator exists (openStore). It begins with the
//     stored endpoint list, or with its configuration's where that is a later version of one discovery; it need not
//     wait for discovery, and sends nothing to a replica that this list has as draining (chooseFirstList). It
//     takes over the latest checkpoint, if that is recent (restoreKnown), and all maintenance entries
//     (openAdminEndpoint).
//  3. Where the platform holds the clients' listener (PROXY_FD), the new process accepts from it once its coordinator
//     has left the phase Starting (serveFronts). Until then the old process accepts. While both run, each reads the
//     other's file, so that an operator's call at either one holds for both.
//  4. At SIGTERM the old process accepts nothing more from the platform's listener, answers what it has, and ends
//     (drain). A process that is killed leaves its last file, which is read in the same way.
//
// A coordinator without an admin endpoint stores nothing, and begins with its configuration's list.

// StateFolder is the folder of the stored state, below the one that TMPDIR names. The platform leaves that one as it
// was when it starts a new version beside the old one.
const StateFolder = "harepass"

// ErrNoStateFolder means that TMPDIR is not set, so nothing can be stored for the process that comes next.
var ErrNoStateFolder = errors.New("TMPDIR is not set")

// openStore opens the stored state, if there is an admin endpoint. If the folder cannot be opened, operators' calls
// are answered all the same, but end with this process.
func (p *process) openStore() {
	if p.Platform.AdminAddress == "" {
		return
	}
	files, err := p.openStateFolder()
	if err != nil {
		slog.Error("operator calls not persisted", logmsg.KeyError, err)
	}
	p.store = operator.NewStore(p.Platform.Name, files, p.clock)
}

// openStateFolder opens the folder of the stored state. The error is ErrNoStateFolder, or the system's.
func (p *process) openStateFolder() (*operator.StateDir, error) {
	dir := p.env("TMPDIR")
	if dir == "" {
		return nil, ErrNoStateFolder
	}
	return operator.OpenStateDir(filepath.Join(dir, StateFolder), time.Now())
}
