package capacity

// memberRows are the control path of a coordinator that follows relays.
func (m *model) memberRows() {}

// relayRows are the authority and the relays.
func (m *model) relayRows() {}
