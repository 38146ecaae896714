package opensearch

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"harepass/internal/decide/scatter"
)

// Errors of Check that concern the file rather than one of its entries.
var (
	ErrNoListenAddress = errors.New("no listen address")
	ErrNoIndices       = errors.New("no indices")
)

// EntryError is the error of Check for one entry of the configuration file.
type EntryError struct {
	Entry  string // kind and name of the entry, such as "index trails"
	Reason string // what is wrong with it
}

// Error returns the entry and the reason in one line.
func (e *EntryError) Error() string { return e.Entry + ": " + e.Reason }

// entryErrorf returns an EntryError with a formatted reason.
func entryErrorf(entry, format string, args ...any) error {
	return &EntryError{Entry: entry, Reason: fmt.Sprintf(format, args...)}
}

// CheckedCopy returns a copy of c that is checked against other settings. c does not change, since requests may be
// reading it. The errors are those of Check.
func (c *Config) CheckedCopy(s scatter.Settings, shards int) (*Config, error) {
	next := *c
	next.Indices = map[string]*Index{}
	for name, ix := range c.Indices {
		indexCopy := *ix
		next.Indices[name] = &indexCopy
	}
	if err := next.Check(s, shards); err != nil {
		return nil, err
	}
	return &next, nil
}

// Check checks the file against the settings, and fills in what the file leaves to the settings; shards is the number
// of shards. It must be called before the first request, and not after it; CheckedCopy checks against other settings.
// Its error is ErrNoListenAddress, ErrNoIndices or an EntryError.
func (c *Config) Check(s scatter.Settings, shards int) error {
	if c.Listen == "" {
		return ErrNoListenAddress
	}
	if len(c.Indices) == 0 {
		return ErrNoIndices
	}
	for name, ix := range c.Indices {
		if ix == nil || !validIndexName(name) {
			return entryErrorf(fmt.Sprintf("index %q", name), "bad name or nothing said of it")
		}
		ix.name = name
		if err := ix.check(s.Classes, shards); err != nil {
			return err
		}
	}
	if ix := c.Indices[c.DefaultIndex]; c.DefaultIndex != "" && (ix == nil || ix.TakesDocuments) {
		return entryErrorf("all", "%q is no index to search", c.DefaultIndex)
	}
	for client, tenant := range c.ClientTenants {
		if !slices.ContainsFunc(s.Tenants, func(t scatter.Tenant) bool { return t.Name == tenant }) {
			return entryErrorf("caller "+client, "no tenant %q in the settings", tenant)
		}
	}
	return nil
}

// validIndexName reports whether clients can use a name for an index in a path. The API reserves names with a leading
// underscore.
func validIndexName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/,*?\"<>| ") && !strings.HasPrefix(name, "_")
}

// check checks an index whose name is set, and copies its class's deadline into it.
func (ix *Index) check(classes []scatter.Class, shards int) error {
	entry := "index " + ix.name
	i := slices.IndexFunc(classes, func(k scatter.Class) bool { return k.Name == ix.Class })
	if i < 0 {
		return entryErrorf(entry, "no class %q in the settings", ix.Class)
	}
	class := classes[i]
	ix.deadline = class.Deadline
	if class.Idempotency == scatter.NonIdempotent && !ix.TakesDocuments {
		return entryErrorf(entry, "class %s may not run twice, so the index has to take reports", ix.Class)
	}
	if err := ix.checkTwoPhase(entry, class); err != nil {
		return err
	}
	return ix.checkShards(entry, shards)
}

// checkTwoPhase checks the first phase, if there is one. A first phase is only for searches of an idempotent class,
// since both phases reach the replicas of a shard.
func (ix *Index) checkTwoPhase(entry string, class scatter.Class) error {
	switch t := ix.TwoPhase; {
	case t == nil:
		return nil
	case ix.TakesDocuments:
		return entryErrorf(entry, "two_phase is for searches, and this index takes reports")
	case class.Idempotency != scatter.Idempotent:
		return entryErrorf(entry, "two_phase asks a section twice, which class %s does not bear", ix.Class)
	case t.VersionField == "":
		return entryErrorf(entry, "two_phase has to name the field that holds a document's version: version: NAME")
	case strings.ContainsAny(t.VersionField, "*\" \t"):
		return entryErrorf(entry, "two_phase: version %q is no name of a field", t.VersionField)
	}
	return nil
}

// checkShards checks the range of shards and their weights. An index without a range in the file has all shards of the
// settings in force.
func (ix *Index) checkShards(entry string, shards int) error {
	ix.holdsAll = ix.holdsAll || len(ix.ShardRange) == 0
	if ix.holdsAll {
		ix.ShardRange = []int{0, shards - 1}
	}
	if r := ix.ShardRange; len(r) != 2 || r[0] < 0 || r[1] < r[0] || r[1] >= shards {
		return entryErrorf(entry, "sections have to be the first and the last, from 0 to %d", shards-1)
	}
	for shard, w := range ix.Weights {
		if !ix.holds(shard) || !(w > 0) {
			return entryErrorf(entry, "weight %g of section %d", w, shard)
		}
	}
	return nil
}
