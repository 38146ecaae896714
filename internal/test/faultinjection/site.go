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
	rules   nodeRules
}

// class is one class of query.
type class struct {
	name   string
	repeat string  // free, guarded or single_shot
	need   float64 // the share of the parts that makes a whole answer
	floor  float64 // the least share of any answer
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
		Rules nodeRules `json:"rules"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return nil, err
	}
	if len(raw.Classes) == 0 || len(raw.Customers) == 0 {
		return nil, errors.New("rig: the settings have no classes or no customers")
	}
	s := &site{tenant: raw.Customers[0].Name, rules: raw.Rules}
	for i, c := range raw.Classes {
		s.classes = append(s.classes, class{c.Name, c.Repeat, item(raw.Family.Need, i), item(raw.Family.Floor, i)})
	}
	return s, nil
}

// item is an entry of a list of shares; all where the list is shorter.
func item(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 1
}

// partial tells whether less than all parts may make an answer: these classes ask for the whole map.
func (c class) partial() bool { return c.floor < 1 || c.need < 1 }

// id words a query's id, which tells its class.
func (c class) id(rest string) string { return c.name + "-" + rest }

// key is the idempotency key of a query; empty in a class without keys.
func (c class) key(id string) string {
	if c.repeat != "guarded" {
		return ""
	}
	return "key-" + id
}

// class finds the class of a query by its id.
func (s *site) class(id string) (found class) {
	for _, c := range s.classes {
		if strings.HasPrefix(id, c.id("")) && len(c.name) > len(found.name) {
			found = c
		}
	}
	return found
}

// keyFault tells what is wrong with the key that came with a part of a query, given the list of its line in a frame; empty
// where nothing is.
func (s *site) keyFault(id, list string) string {
	want, got := s.class(id).key(id), ""
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
type question struct {
	class    class
	sections []int
}

// ask is the i-th question of a client, each class in turn, of so many sections: all of them where an answer in part will
// do, four in a row for other lookups, and one where it is a report.
func (s *site) ask(who, i, sections int) question {
	c := s.classes[i%len(s.classes)]
	first := (who*7 + i*5) % sections
	q := question{class: c}
	switch {
	case c.partial():
		q.sections = upTo(sections)
	case c.repeat == "free":
		for j := range min(4, sections) {
			q.sections = append(q.sections, (first+j)%sections)
		}
	default:
		q.sections = []int{first}
	}
	return q
}

func upTo(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// summary asks for all sections, in a class of which less may make an answer if there is one.
func (s *site) summary(sections int) question {
	q := question{class: s.classes[0], sections: upTo(sections)}
	for _, c := range s.classes {
		if c.partial() {
			q.class = c
		}
	}
	return q
}
