package faultinjection

import (
	"fmt"
	"strings"
)

// linksOf lists the links that "FROM TO" selects. FROM is a pattern of coordinator names; TO is a pattern of replica
// names, or "registry" for discovery.
func (f *Fleet) linksOf(fromTo string) (links []*Link) {
	names := strings.Fields(fromTo)
	for _, i := range match(names[0], "c", len(f.members)) {
		m := f.members[i]
		if names[1] == "registry" {
			links = append(links, m.discovery)
			continue
		}
		for _, j := range match(names[1], "n", len(f.replicas)) {
			links = append(links, m.links[j])
		}
	}
	return links
}

// changeLinks applies a step to the links that it names. The error wraps ErrInvalidScenario if no link matches.
func (f *Fleet) changeLinks(st Step) error {
	links := f.linksOf(st.Link)
	if len(links) == 0 {
		return fmt.Errorf("%w: link %q matches no link of the fleet", ErrInvalidScenario, st.Link)
	}
	f.Note(sourceHarness, "%d links %s: cut %q heal %t reset %t delay %v rate %d lose %v twice %v swap %v",
		len(links), st.Link, st.Cut, st.Heal, st.Reset, st.Delay, st.Rate, st.Drop, st.Duplicate, st.Reorder)
	for _, link := range links {
		f.changeLink(link, st)
	}
	return nil
}

// changeLink applies a step to one link.
func (f *Fleet) changeLink(link *Link, st Step) {
	switch {
	case st.Cut != "":
		link.Cut(ToServer, st.Cut != cutToClient)
		link.Cut(ToClient, st.Cut != cutToServer)
	case st.Heal:
		link.Heal()
	case st.Reset:
		link.Reset()
	case st.Delay > 0:
		link.Delay(st.Delay)
	case st.Rate > 0:
		link.Throttle(st.Rate)
	default:
		link.InjectMessageFaults(MessageFaults{
			Drop:      st.Drop,
			Duplicate: st.Duplicate,
			Reorder:   st.Reorder,
			Seed:      uint64(len(f.replicas)),
		})
	}
}
