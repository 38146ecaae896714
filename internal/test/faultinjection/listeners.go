package faultinjection

import (
	"errors"
	"net"
	"sync"
)

// linkedListeners are the listeners of fakes, and the links to them. The zero value has none.
type linkedListeners struct {
	closers []func() error // in the order in which listeners and links were opened
	serving sync.WaitGroup // one for each listener whose connections are accepted
}

// serveBehindLink opens a listener on a loopback address, has serve accept its connections until it is closed, and
// returns a link to it that newLink (NewLink or NewFramedLink) has opened.
func (s *linkedListeners) serveBehindLink(
	newLink func(address string) (*Link, error), serve func(net.Listener),
) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.closers = append(s.closers, listener.Close)
	s.serving.Go(func() { serve(listener) })
	link, err := newLink(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s.closers = append(s.closers, func() error { link.Close(); return nil })
	return link, nil
}

// close closes all of them and waits until no listener accepts any more; one that was closed already is no error.
func (s *linkedListeners) close() (err error) {
	for _, closer := range s.closers {
		if closeErr := closer(); !errors.Is(closeErr, net.ErrClosed) {
			err = errors.Join(err, closeErr)
		}
	}
	s.serving.Wait()
	return err
}
