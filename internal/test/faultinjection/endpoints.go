package faultinjection

import (
	"errors"
	"net"
)

// endpoints are the listeners of stand-ins and the links before them, in the order in which they were opened.
type linkedListeners struct {
	closers []func() error
}

// serveBehindLink opens a listener on a loopback address, has serve accept its connections, and returns a link to it that
// newLink (NewLink or NewFramedLink) has opened.
func (e *linkedListeners) serveBehindLink(newLink func(address string) (*Link, error), serve func(net.Listener)) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.closers = append(e.closers, listener.Close)
	go serve(listener)
	link, err := newLink(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	e.closers = append(e.closers, func() error { link.Close(); return nil })
	return link, nil
}

// close closes all of them; one that is closed already is no error.
func (e *linkedListeners) close() (err error) {
	for _, closer := range e.closers {
		if failed := closer(); !errors.Is(failed, net.ErrClosed) {
			err = errors.Join(err, failed)
		}
	}
	return err
}
