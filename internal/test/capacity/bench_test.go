package capacity

import (
	"fmt"
	"testing"
)

// BenchmarkChangedEntry measures one changed entry by the length of the list, without queries and after queries have
// asked every section. Its profiles show which work grows with the list.
func BenchmarkChangedEntry(b *testing.B) {
	for _, c := range []struct {
		name    string
		prepare func(int) (*subject, error)
	}{{"idle", changeModule}, {"asked", changeTouched}} {
		for _, nodes := range []int{70, 700, DataNodes} {
			b.Run(fmt.Sprintf("%s/nodes=%d", c.name, nodes), func(b *testing.B) {
				s, err := c.prepare(nodes)
				if err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					if err := s.operate(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
