// Package logsummary reads the logs that the coordinators of a fleet write under "serve -trace", one file each, and
// summarizes them.
//
// ReadDir calls a function with each line of the logs in a folder. A Summary needs two passes over all lines:
// ReadContext collects the duration of slow start and the starts of replicas, then Add counts; Print writes the tables.
// PrintQuery writes the lines of one query. Messages and keys are those of internal/logmsg. Nothing in this package is
// safe for concurrent use.
package logsummary
