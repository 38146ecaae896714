package scaletest

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

// logReader extracts version records from a real coordinator's log.
type logReader struct {
	member           string
	records          *records
	retryAfterNumber int64 // settings version by the last logged caps.max_retry_after_us
	keepAliveNumber  int64 // settings version by the last logged caps.keepalive_us
}

// read reads lines until the log ends. After a line too long for the scanner, it discards the rest of the log so that
// the process that writes it does not block.
func (l *logReader) read(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		l.readLine(lines.Text())
	}
	io.Copy(io.Discard, log)
}

// readLine processes a line about changed settings or a version in force, and ignores any other line.
func (l *logReader) readLine(line string) {
	switch {
	case strings.Contains(line, logmsg.SettingsChanged):
		if us, ok := parseNumberAfter(line, "caps.max_retry_after_us: "); ok {
			l.retryAfterNumber = us - retryAfterBase.Microseconds()
		}
		if us, ok := parseNumberAfter(line, "caps.keepalive_us: "); ok {
			l.keepAliveNumber = us - keepAliveBase.Microseconds()
		}
	case strings.Contains(line, logmsg.VersionInForce):
		l.recordVersion(line)
	}
}

// recordVersion adds a record of a version that came into force. It ignores a line that lacks one of the numbers.
func (l *logReader) recordVersion(line string) {
	record := VersionRecord{Member: l.member, Resource: List, Complete: true}
	if strings.Contains(line, logmsg.KeyResource+"="+distribution.Settings.ResourceName()) {
		record.Resource, record.Sequence = Settings, l.retryAfterNumber
		record.Mixed = l.retryAfterNumber != l.keepAliveNumber
	}
	var ms int64
	for key, value := range map[string]*int64{
		logmsg.KeyEpoch: &record.Epoch, logmsg.KeyIndex: &record.Index, logmsg.KeyInForceAt: &ms,
	} {
		var ok bool
		if *value, ok = parseNumberAfter(line, key+"="); !ok {
			return
		}
	}
	record.At = time.UnixMilli(ms)
	l.records.add(record)
}

// parseNumberAfter returns the decimal number that follows a key in a line. ok is false if there is none.
func parseNumberAfter(line, key string) (number int64, ok bool) {
	_, rest, found := strings.Cut(line, key)
	if !found {
		return 0, false
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	number, err := strconv.ParseInt(rest[:end], 10, 64)
	return number, err == nil
}
