// Package lifecycle runs a harepass program from start to end: a coordinator with RunCoordinator, or a relay or an
// authority with RunRelay.
//
// # Contract
//
// A caller first calls NotifySignals, then reads the configuration under the context of Signals.Context, then runs the
// program. So a signal to end that arrives while files are read ends the reading, and with it the program; a reload
// signal is handled once the program runs. SIGTERM and SIGINT are handled alike: on either, both Run
// functions answer the requests that they have accepted, within a bounded time, and return. They return an error if the
// program cannot start: a *config.InvalidError if the configuration is invalid, else an error of the operating system.
//
// A single goroutine, the caller's, starts, reloads and drains; only it uses the fields of a process, except that the
// inventory's reader belongs to the goroutine of inventory.go once that is started. The goroutines
// that it starts end with the process: the core's on Stop, the listeners' when their listener is closed, those that
// wait for the core to start when it leaves the phase Starting, and all others when the context is cancelled.
//
// # Files
//
//	process.go           a coordinator from start to end
//	start.go             creation of a coordinator's components, and the order in which they start
//	replicas.go          the callers of replicas
//	endpoints.go         sources of the endpoint list: discovery, relays, an inventory
//	inventory.go         reading of the inventory while the process runs
//	relayed_settings.go  settings that relays distribute
//	listeners.go         the fronts, and the division of descriptors between clients and replicas
//	stored_state.go      the folder for state files, and how state passes from one process to the next
//	inherited_list.go    choice of the first endpoint list: another process's or the configuration's
//	admin_endpoint.go    operators' calls, and what is stored of them for the next process
//	reload.go            which values a running process takes from files and relays, and which it does not
//	drain.go             the end of a process: which requests are still answered, and by when
//	signals.go           signals and their precedence
//	counters.go          the totals in the log
//	usage_log.go         what the process holds in memory, in the log
//	relay.go             a relay or an authority from start to end
package lifecycle
