// Package listexchange passes on what the processes of a coordinator know of the endpoint list: each writes a record
// (platform.ListRecord) into the folder that they share, and reads those of the others.
//
// The state files of package operator hold the complete list, which is long. A record has only the latest changes and
// the instants at which discovery confirmed the list, so it is short enough to be written after each of them.
//
// # Contract
//
// Open returns the Exchange of a process. Latest is for the start of the process, before Run. Run reads and writes
// until its context ends; Changed may be called from any goroutine and does not block. Files are written whole or not
// at all. A file that cannot be read, that is not a record or that another coordinator has written is ignored, and read
// again once it has changed; one that the file system fails to read is read again at each poll.
//
// Earlier versions of the program neither read nor write records. They start with the list in a state file, and the
// changes in their state files are adopted like those in records.
//
// # Files
//
//	exchange.go         when records are written and read
//	folder.go           the folder and its files
//	record.go           the stored form of a record
//	earlier_version.go  lists of processes that write no records
//	clock.go            the clock that all processes of a machine share
package listexchange
