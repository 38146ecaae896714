// Package coordinatorproc runs a coordinator in a separate process and measures it from inside: the waits of its loop,
// its heap and its CPU time, which the program itself does not report. It is for tests and the laboratory only.
//
// # Contract
//
// Config.Start starts the executable of the current process with the argument ServeCommand, for which the executable
// must call Serve. The two processes communicate over the child's standard input and output: the parent writes a Config
// as one line of JSON, and the child writes the address of its front. Process.Stop closes the input, after which the
// child drains and writes its Stats as JSON, which Process.Stop returns.
//
// The coordinator serves the OpenSearch front and calls replicas over real sockets, as the program does. It accepts
// clients on loopback only.
//
// # Files
//
//	process.go     the process, from the parent's side
//	serve.go       the coordinator in the process
//	meter.go       measurement of admissions, waits of the loop and the live heap
//	level_log.go   changes of the overload level
package coordinatorproc
