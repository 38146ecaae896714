package follower

import (
	"fmt"

	"harepass/internal/decide/versionlog"
)

// object returns an entry's body.
func object(name string, value int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"status":"in_service","value":%d}`, name, value)
}

// entry returns an entry whose body is derived from its index.
func entry(name string, index int64) versionlog.Entry {
	return versionlog.Entry{Name: name, Index: index, Body: object(name, int(index))}
}

// apply applies an entry to bodies by name.
func apply(bodies map[string]string, e versionlog.Entry) {
	if e.Removed {
		delete(bodies, e.Name)
		return
	}
	bodies[e.Name] = string(e.Body)
}

// reader keeps the bodies of the entries that its State reports as changed.
type reader struct {
	state  State
	bodies map[string]string
}

func (r *reader) apply(slice versionlog.Slice) (Applied, error) {
	c, err := r.state.Apply(slice)
	for _, e := range c.Entries {
		apply(r.bodies, e)
	}
	for _, name := range c.MissingFromSnapshot {
		delete(r.bodies, name)
	}
	return c, err
}

// liveBodies returns the bodies of a log's live entries by name.
func liveBodies(log *versionlog.Log) map[string]string {
	bodies := map[string]string{}
	for cursor := (versionlog.Cursor{}); !log.Empty(); {
		slice := log.Read(cursor, 1<<20)
		for _, e := range slice.Entries {
			apply(bodies, e)
		}
		if cursor = cursor.After(slice); cursor.Complete() {
			return bodies
		}
	}
	return bodies
}
