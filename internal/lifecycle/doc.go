// Package lifecycle runs a harepass program from its start to its end: a coordinator, with RunCoordinator, or a relay,
// with RunRelay.
//
// # Contract
//
// A caller takes the signals first, with NotifySignals, then reads the configuration, then runs the program. A signal
// that comes while files are read is so handled once the program runs. SIGTERM and SIGINT are handled alike: both Run
// functions then answer what they have accepted, each for a bounded time, and return. They return an error if the
// program cannot start: a *config.InvalidError says that the configuration is at fault, any other is the system's.
//
// One goroutine, the caller's, starts, reloads and drains; the fields of a process are its own. The goroutines that it
// starts end with the process: the core's with Stop, listeners' when they are closed, those that wait for the core to
// start when it leaves the phase Starting, and all others with the context.
//
// # Where each step stands
//
//	process.go           a coordinator from start to end
//	start.go             how its components are put together, and in which order they begin
//	replicas.go          the callers of replicas
//	endpoints.go         where the endpoint list comes from: discovery, relays, an inventory
//	relayed_settings.go  settings that relays give out
//	listeners.go         the fronts, and how descriptors are divided among clients and replicas
//	stored_state.go      the folder of the stored state, and the story of a hand-over between two processes
//	inherited_list.go    which endpoint list a process begins with: the stored one, or its configuration's
//	admin_endpoint.go    operators' calls, and what they leave for the next process
//	reload.go            what a running process takes over from files and relays, and what it does not
//	drain.go             the end: what is still answered, and by when
//	signals.go           signals, and their order
//	counters.go          the totals in the log
//	relay.go             a relay or an authority from start to end
package lifecycle
