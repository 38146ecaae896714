package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// site is what a deployment's settings say that clients ask by and records are held against.
type site struct {
	classes []class
	tenant  string // of all clients
	rules   replicaRules
}

// class is one class of query.
type class struct {
	name             string
	idempotency      string  // free, guarded or single_shot
	completeFraction float64 // the share of the parts that makes a whole answer
	minFraction      float64 // the least share of any answer
}

// readSite reads the settings as they are written for a program.
func readSite(settings []byte) (*site, error) {
	var raw struct {
		Classes []struct {
			Name   string `json:"name"`
			Repeat string `json:"repeat"`
		} `json:"classes"`
		Customers []struct {
			Name string `json:"name"`
		} `json:"customers"`
		Family struct {
			Need  []float64 `json:"need_by_class"`
			Floor []float64 `json:"floor_by_class"`
		} `json:"family_info"`
		Rules replicaRules `json:"rules"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return nil, err
	}
	if len(raw.Classes) == 0 || len(raw.Customers) == 0 {
		return nil, errors.New("rig: the settings have no classes or no customers")
	}
	s := &site{tenant: raw.Customers[0].Name, rules: raw.Rules}
	for i, c := range raw.Classes {
		s.classes = append(s.classes, class{c.Name, c.Repeat, fractionAt(raw.Family.Need, i), fractionAt(raw.Family.Floor, i)})
	}
	return s, nil
}

// item is an entry of a list of shares; all where the list is shorter.
func fractionAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 1
}

// partial tells whether less than all parts may make an answer: these classes ask for the whole map.
func (c class) allowsPartial() bool { return c.minFraction < 1 || c.completeFraction < 1 }

// id words a query's id, which tells its class.
func (c class) queryID(rest string) string { return c.name + "-" + rest }

// key is the idempotency key of a query; empty in a class without keys.
func (c class) idempotencyKey(id string) string {
	if c.idempotency != "guarded" {
		return ""
	}
	return "key-" + id
}

// class finds the class of a query by its id.
func (s *site) classOf(id string) (found class) {
	for _, c := range s.classes {
		if strings.HasPrefix(id, c.queryID("")) && len(c.name) > len(found.name) {
			found = c
		}
	}
	return found
}

// keyFault tells what is wrong with the key that came with a part of a query, given the list of its line in a frame; empty
// where nothing is.
func (s *site) keyViolation(id, list string) string {
	want, got := s.classOf(id).idempotencyKey(id), ""
	for entry := range strings.SplitSeq(list, ",") {
		if value, found := strings.CutPrefix(entry, "k="); found {
			got = value
		}
	}
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s came with the key %q, its client gave %q", id, got, want)
}

// question is what a client asks.
type query struct {
	class  class
	shards []int
}

// ask is the i-th question of a client, each class in turn, of so many sections: all of them where an answer in part will
// do, four in a row for other lookups, and one where it is a report.
func (s *site) query(who, i, sections int) query {
	c := s.classes[i%len(s.classes)]
	first := (who*7 + i*5) % sections
	q := query{class: c}
	switch {
	case c.allowsPartial():
		q.shards = allShards(sections)
	case c.idempotency == "free":
		for j := range min(4, sections) {
			q.shards = append(q.shards, (first+j)%sections)
		}
	default:
		q.shards = []int{first}
	}
	return q
}

func allShards(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// summary asks for all sections, in a class of which less may make an answer if there is one.
func (s *site) queryOfAllShards(sections int) query {
	q := query{class: s.classes[0], shards: allShards(sections)}
	for _, c := range s.classes {
		if c.allowsPartial() {
			q.class = c
		}
	}
	return q
}
