// Package coordinatorproc runs a coordinator in a process of its own and measures it from inside: the waits of its
// loop, its heap and its CPU time, which the program has no place for. It is for tests and the laboratory only.
//
// # Contract
//
// Config.Start starts this very program by its ServeCommand, which has to call Serve. The two sides speak over the
// process's standard input and output: a Config as one line of JSON goes in, the address of the front comes out, and
// once the input is closed the process drains and writes its Stats as JSON. Process.Stop closes the input and returns
// them.
//
// The coordinator serves the OpenSearch front before replicas on real sockets, as the program does. It accepts
// clients on loopback only.
//
// # Where each concern stands
//
//	process.go     the process, as whoever starts it sees it
//	serve.go       the coordinator in it
//	meter.go       what is measured: admissions, waits of the loop, the live heap
//	level_log.go   changes of the overload level
package coordinatorproc
