package twophase

import (
	"container/list"
	"time"
)

// entryCost is what an entry takes besides its text and value: maps, list, headers.
const entryCost = 256

// store holds the sections' states and the values retained, the latest used first. Its bytes never pass the
// limit: what was used longest ago goes, and a value over an eighth of the limit is not taken.
type store struct {
	limit, bytes, values int
	used                 *list.List // of *entry
	sections             map[place]*section
}

type place struct {
	index string
	no    int
}

// section is what is known of a section's data.
type section struct {
	same, empty float64 // chances that a value retained stands when it is next asked for, and that there is no hit
	signed      bool    // its latest readable answer had versions
	marked      bool
	mark        Version           // the newest state seen
	markAt      time.Duration     // when it was seen last
	took        time.Duration     // its full answers, of late; 0 where there was none
	entries     map[string]*entry // by text: two texts never share a value
}

// entry is a text that was asked for, with the section's value for it under the section's mark or, as data is nil,
// without.
type entry struct {
	s    *section
	text string
	data []byte
	lost bool // its value was outdated since the text was last asked for
	at   *list.Element
}

func (e *entry) size() int { return entryCost + len(e.text) + len(e.data) }

func newStore(limit int) store {
	return store{limit: limit, used: list.New(), sections: map[place]*section{}}
}

// section finds or makes a section's state. There are no more of them than the operator's indices have.
func (st *store) section(index string, no int) *section {
	s := st.sections[place{index, no}]
	if s == nil {
		s = &section{same: firstChance, entries: map[string]*entry{}}
		st.sections[place{index, no}] = s
	}
	return s
}

// known tells whether a text was asked for of late, and whether its value is retained.
func (s *section) known(text string) (known, has bool) {
	e := s.entries[text]
	return e != nil, e != nil && e.data != nil
}

// note remembers that a text was asked for. A value that was outdated before it was of use did not stand.
func (st *store) note(s *section, text string) {
	if e := s.entries[text]; e != nil {
		st.used.MoveToFront(e.at)
		if e.lost {
			e.lost = false
			s.same -= chanceGain * s.same
		}
		return
	}
	st.add(&entry{s: s, text: text})
}

// get is the entry of a text with a value, nil if there is none.
func (st *store) get(s *section, text string) *entry {
	if e := s.entries[text]; e != nil && e.data != nil {
		st.used.MoveToFront(e.at)
		return e
	}
	return nil
}

// put retains a copy of a value under the section's mark, for the caller's may be part of something larger.
func (st *store) put(s *section, text string, data []byte) {
	if e := s.entries[text]; e != nil {
		st.drop(e)
	}
	st.add(&entry{s: s, text: text, data: append(make([]byte, 0, len(data)), data...)})
}

func (st *store) add(e *entry) {
	if e.size() > st.limit/8 {
		return
	}
	e.at = st.used.PushFront(e)
	e.s.entries[e.text] = e
	st.bytes += e.size()
	if e.data != nil {
		st.values++
	}
	st.trim()
}

func (st *store) trim() {
	for st.bytes > st.limit {
		st.drop(st.used.Back().Value.(*entry))
	}
}

func (st *store) drop(e *entry) {
	st.bytes -= e.size()
	if e.data != nil {
		st.values--
	}
	st.used.Remove(e.at)
	delete(e.s.entries, e.text)
}

// see takes note of a section's state at a replica, and tells whether that can be gone by; if so, it is the mark, and
// whatever is retained under another one is outdated. One behind the
// newest state seen cannot, nor one that contradicts it. If nobody has confirmed the newest for markLife, it
// is held to be gone: its newest document was deleted, or all replicas went back.
func (st *store) see(s *section, v Version, now time.Duration) bool {
	if s.marked {
		switch o := v.to(s.mark); {
		case o == same:
			s.markAt = now
			return true
		case o != newer && now-s.markAt < markLife:
			if o == foreign { // versions were given twice: what is retained under this one may be either
				st.outdate(s)
			}
			return false
		}
	}
	s.mark, s.markAt, s.marked = v, now, true
	st.outdate(s)
	return true
}

// outdate drops a section's values and keeps their texts.
func (st *store) outdate(s *section) {
	for _, e := range s.entries {
		if e.data != nil {
			st.bytes -= len(e.data)
			st.values--
			e.data, e.lost = nil, true
		}
	}
}
