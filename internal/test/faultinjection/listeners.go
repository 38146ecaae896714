package faultinjection

import (
	"errors"
	"net"
	"sync"
)

// linkedListeners holds the listeners of fakes and the links to them. The zero value holds none.
type linkedListeners struct {
	closers []func() error // of listeners and links, in the order in which they were opened
	serving sync.WaitGroup // one goroutine per open listener
}

// serveBehindLink opens a listener on a loopback address, runs serve on it until the listener is closed, and returns a
// link to it, which newLink (NewLink or NewFramedLink) opens.
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

// close closes all listeners and links, and waits until the serve functions have returned. It ignores the error of a
// listener that was already closed.
func (s *linkedListeners) close() (err error) {
	for _, closer := range s.closers {
		if closeErr := closer(); !errors.Is(closeErr, net.ErrClosed) {
			err = errors.Join(err, closeErr)
		}
	}
	s.serving.Wait()
	return err
}
