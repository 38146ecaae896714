// Package operator serves the operators of a coordinator: it answers their calls, and hands what a process knows on
// to the other processes of the coordinator.
//
// # Contract
//
// During an upgrade two processes of a coordinator run side by side, and a process may be killed at any time. Each
// writes one state file in a directory that they share, and polls those of the others. A maintenance call made at
// one process binds all of them within a second, and those that start later; it binds although files cannot be read
// or written, in the process that took it. A new process begins with the endpoint list and the checkpoint of the
// latest one. Once Store.Run has begun, it alone touches files, so a disk that hangs holds up a caller for a
// bounded time and the coordinator never. Before that, OpenStateDir and NewStore read, make and remove files in their
// caller's goroutine, which a disk that hangs holds up.
//
// Calls, their answers and the state file's JSON tags are fixed: staff and earlier versions of the program depend on
// them.
//
//	admin_server.go  the listener that operators connect to
//	admin_call.go    the calls and their answers
//	store.go         what a process has for the others, and the loop that reads and writes it
//	maintenance.go   maintenance calls
//	endpoint_list.go when the endpoint list is encoded for the state file
//	peers.go         whether another process serves beside this one
//	state_file.go    the form of a state file
//	state_dir.go     the files of the coordinator's processes
package operator
