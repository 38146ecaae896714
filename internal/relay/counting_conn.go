package relay

import "net"

// countingListener adds the bytes of all connections that it accepts to a server's totals.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return countingConn{tcp, l.server}, nil
	}
	return conn, nil
}

// countingConn adds the bytes of a connection to a server's totals. It embeds *net.TCPConn instead of net.Conn because
// the HTTP server closes the connection's two directions separately and inspects its socket.
type countingConn struct {
	*net.TCPConn
	server *Server
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.server.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.server.bytesOut.Add(int64(n))
	return n, err
}
