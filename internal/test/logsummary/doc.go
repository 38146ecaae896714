// Package logsummary reads the logs that coordinators write under "serve -trace", one file each, and sums a fleet's up.
//
// ReadDir hands each line of a folder's logs to a function. A Summary needs two passes: ReadContext over all lines, for
// the slow start and the starts of replicas, then Add over all lines; Print writes the tables. PrintQuery writes the
// lines of one query. Messages and keys are those of internal/logmsg. Nothing here is for concurrent use.
package logsummary
