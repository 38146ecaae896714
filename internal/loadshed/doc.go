// Package loadshed lets a coordinator shed load before its own loop, CPU, memory or descriptors run short.
//
// A Shedder is the gate that fronts and the coordinator ask for each query. It watches the process, hands what it
// sees to the controller of package overload once a window, and passes on what the controller decides: rejections to
// the fronts, memory levels to the coordinator, changes of level to the log.
//
//	shedder.go            the gate, and the loop that watches
//	signals.go            the signals of a window that the controller gets
//	process_usage.go      what the process has used
//	controller_config.go  the controller's configuration by the coordinator's settings
package loadshed
