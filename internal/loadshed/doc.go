// Package loadshed lets a coordinator shed load before its own loop, CPU, memory or descriptors run short.
//
// A Shedder is the core.Admitter that fronts and the coordinator ask about each query. Once per window it observes the
// process, passes the signals to the controller of package overload, and applies the controller's decisions: rejections
// go to the fronts, memory levels to the coordinator, and changes of level to the log.
//
//	shedder.go            the Admitter, and the loop that observes the process
//	signals.go            the signals of a window for the controller
//	process_usage.go      the resource usage of the process
//	controller_config.go  the controller's configuration from the coordinator's settings
package loadshed
