// Package operator serves the operators of a coordinator: it answers their calls, and hands what a process knows on
// to the other processes of the coordinator.
//
// # Contract
//
// During an upgrade two processes of a coordinator run side by side, and a process may be killed at any time. Each
// writes one snapshot file in a directory that they share, and polls those of the others. A maintenance call made at
// one process binds all of them within a second, and those that start later; it binds although files cannot be read
// or written, in the process that took it. A new process begins with the endpoint list and the checkpoint of the
// latest one. Only Store.Run touches files, so a disk that hangs holds up a caller for a bounded time and the
// coordinator never.
//
// Calls, their answers and the snapshot's JSON tags are fixed: staff and earlier versions of the program depend on
// them.
//
//	admin_server.go  the listener that operators connect to
//	admin_call.go    the calls and their answers
//	store.go         what a process keeps for the others, and the loop that reads and writes it
//	maintenance.go   maintenance calls
//	endpoint_list.go when the endpoint list is encoded for the snapshot
//	peers.go         whether another process serves beside this one
//	snapshot.go      the form of a snapshot
//	snapshot_dir.go  the files of the coordinator's processes
package operator
