package faultinjection

// NewCrowd lets so many clients ask a coordinator at an address from now on, by the classes and the first tenant of a site's
// settings, for some sections of the map; sent tells whether a node was asked for some part of a query.
func NewClientPool(clients int, address string, settings []byte, sections []int, sent func(query string) bool) (*ClientPool, error) {
	site, err := readSite(settings)
	if err != nil {
		return nil, err
	}
	ask := func(who, i int) query {
		q := site.query(who, i, len(sections))
		for j, section := range q.shards {
			q.shards[j] = sections[section]
		}
		return q
	}
	return newClientPool(clients, address, site.tenant, sent, ask), nil
}

// QueryOrigin is what names, in the id of a query, the address that it was sent to. The id is the name of the class, this, the
// client's number and the query's, with hyphens between: "route-lookup-127-0-2-1-4711-0-17".
func QueryOrigin(address string) string { return addressToID.Replace(address) }

// Reserve finds an address for a process that binds it later, on a loopback address of its own.
func Reserve() (string, error) { return reserve() }
