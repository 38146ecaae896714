package faultinjection

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Values of a class's idempotency in the settings.
const (
	idempotent    = "free"
	keyed         = "guarded"
	nonIdempotent = "single_shot"
)

// site holds the values of a deployment's settings that clients and checks use.
type site struct {
	classes []class
	tenant  string // the first tenant of the settings; all clients use it
	rules   replicaRules
}

// class is a query class.
type class struct {
	name             string
	idempotency      string  // idempotent, keyed or nonIdempotent
	completeFraction float64 // the share of the parts that makes an answer complete
	minFraction      float64 // the least share of the parts that an answer may have
}

// readSite reads settings in the JSON form that a process's configuration contains. The error wraps ErrInvalidSettings
// if they have no class or no tenant; any other error comes from JSON.
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

// fractionAt returns the fraction of the class with index i, or 1 (all parts) if the list is shorter.
func fractionAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 1
}

// allowsPartial reports whether an answer may have fewer than all parts. Clients' queries of such a class ask all
// shards.
func (c class) allowsPartial() bool { return c.minFraction < 1 || c.completeFraction < 1 }

// queryID returns the ID of a query: the class's name, by which classOf finds the class, a hyphen and the rest.
func (c class) queryID(rest string) string { return c.name + "-" + rest }

// idempotencyKey is the idempotency key that a client sends with a query; empty if the class is not keyed.
func (c class) idempotencyKey(queryID string) string {
	if c.idempotency != keyed {
		return ""
	}
	return "key-" + queryID
}

// classOf finds the class of a query by the class name at the start of its ID. If several names match, as "a" and "a-b"
// match "a-b-7", the longest decides. If none matches, classOf returns the zero class.
func (s *site) classOf(queryID string) (found class) {
	for _, c := range s.classes {
		if strings.HasPrefix(queryID, c.queryID("")) && len(c.name) > len(found.name) {
			found = c
		}
	}
	return found
}

// keyViolation compares the idempotency key of a part with the one that the query's client sent, which it derives from
// the query's ID; a query of an unknown class has none. The list is that of the part's line in the frame: parameters
// NAME=VALUE, separated by commas, where the last k decides. It returns a description of the difference, or an empty
// string for none.
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
	return fmt.Sprintf("a part of %s carries the idempotency key %q, its client sent %q", queryID, got, want)
}
