package faultinjection

import (
	"encoding/json"
	"fmt"
	"strings"
)

// The settings' words for how a class bears parts that run twice.
const (
	idempotent    = "free"
	keyed         = "guarded"
	nonIdempotent = "single_shot"
)

// site is what a deployment's settings say that clients and checks go by.
type site struct {
	classes []class
	tenant  string // of all clients
	rules   replicaRules
}

// class is a class of query.
type class struct {
	name             string
	idempotency      string  // idempotent, keyed or nonIdempotent
	completeFraction float64 // the share of the parts that makes a complete answer
	minFraction      float64 // the least share of the parts of any answer
}

// readSite reads the settings in the form in which a process gets them. An error that does not come from JSON wraps
// ErrInvalidSettings.
func readSite(settings []byte) (*site, error) {
	var raw struct {
		Classes []struct {
			Name        string `json:"name"`
			Idempotency string `json:"repeat"`
		} `json:"classes"`
		Tenants []struct {
			Name string `json:"name"`
		} `json:"customers"`
		Family struct {
			CompleteFraction []float64 `json:"need_by_class"`
			MinFraction      []float64 `json:"floor_by_class"`
		} `json:"family_info"`
		Rules replicaRules `json:"rules"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return nil, err
	}
	if len(raw.Classes) == 0 || len(raw.Tenants) == 0 {
		return nil, fmt.Errorf("%w: no classes or no customers", ErrInvalidSettings)
	}
	s := &site{tenant: raw.Tenants[0].Name, rules: raw.Rules}
	for i, c := range raw.Classes {
		s.classes = append(s.classes, class{
			name:             c.Name,
			idempotency:      c.Idempotency,
			completeFraction: fractionAt(raw.Family.CompleteFraction, i),
			minFraction:      fractionAt(raw.Family.MinFraction, i),
		})
	}
	return s, nil
}

// fractionAt is the i-th of a list of shares, and 1 where the list is shorter.
func fractionAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 1
}

// allowsPartial reports whether fewer than all parts may make an answer. Clients ask all shards in these classes.
func (c class) allowsPartial() bool { return c.minFraction < 1 || c.completeFraction < 1 }

// queryID makes the ID of a query, which tells its class.
func (c class) queryID(rest string) string { return c.name + "-" + rest }

// idempotencyKey is the key that a client gives with a query; empty in a class without keys.
func (c class) idempotencyKey(queryID string) string {
	if c.idempotency != keyed {
		return ""
	}
	return "key-" + queryID
}

// classOf finds the class of a query by its ID. Where several names begin it, the longest is the class.
func (s *site) classOf(queryID string) (found class) {
	for _, c := range s.classes {
		if strings.HasPrefix(queryID, c.queryID("")) && len(c.name) > len(found.name) {
			found = c
		}
	}
	return found
}

// keyViolation says what is wrong with the idempotency key that came with a part of a query; empty where nothing is.
// The list is that of the part's line in a frame.
func (s *site) keyViolation(queryID, list string) string {
	want, got := s.classOf(queryID).idempotencyKey(queryID), ""
	for entry := range strings.SplitSeq(list, ",") {
		if value, found := strings.CutPrefix(entry, "k="); found {
			got = value
		}
	}
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s came with the key %q, its client gave %q", queryID, got, want)
}
