// Package operator answers the calls of a coordinator's operators, and shares the state of a process with the other
// processes of the same coordinator.
//
// # Contract
//
// During an upgrade two processes of a coordinator run side by side, and a process may be killed at any time. Each
// process writes one state file into a directory that they share, and polls the files of the others. A maintenance call
// to one process takes effect in all of them within a second, and in those that start later. If files cannot be read or
// written, the call still takes effect in the process that received it. A new process starts with the endpoint list
// that was set last and the latest checkpoint of the others; package listexchange has it start with the latest version.
//
// Once Store.Run has started, only its goroutine accesses files, so a disk that hangs blocks an operator's call for a
// bounded time and never blocks the coordinator. Before that, OpenStateDir and NewStore read, create and remove files
// in their caller's goroutine, which a disk that hangs does block.
//
// Calls, their answers and the state file's JSON tags are fixed: operators and earlier versions of the program depend
// on them.
//
// # Files
//
//	admin_server.go  the listener that operators connect to
//	admin_call.go    the calls and their answers
//	store.go         state shared between processes, and the loop that reads and writes it
//	maintenance.go   maintenance calls
//	endpoint_list.go when the endpoint list is encoded for the state file
//	peers.go         whether another process serves beside this one
//	state_file.go    the format of a state file
//	state_dir.go     the state files of the coordinator's processes
package operator
