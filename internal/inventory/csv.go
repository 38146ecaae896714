package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
)

var (
	// columns are the columns that a CSV file may have. The cell is the ring position.
	columns = []string{columnName, columnAddress, columnPort, columnCell, columnZone, columnAPI}
	// requiredColumns are the columns that a CSV file must have.
	requiredColumns = []string{columnName, columnPort, columnCell}
)

// byteOrderMark is written by some spreadsheet programs at the start of a file.
const byteOrderMark = "\ufeff"

// readCSV reads the hosts of a CSV file, one per row. Lines that begin with # are comments.
func (f *file) readCSV(data []byte) error {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	r.TrimLeadingSpace = true
	r.Comment = '#'
	header, err := r.Read()
	if err != nil {
		return f.csvError(err)
	}
	if err := f.normalizeHeader(header); err != nil {
		return err
	}
	for {
		row, err := r.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.csvError(err)
		}
		values := map[string]string{}
		for i, value := range row {
			// i is in range: the CSV reader rejects rows that do not have as many fields as the header.
			values[header[i]] = strings.TrimSpace(value)
		}
		line, _ := r.FieldPos(0)
		if err := f.add(line, values[columnName], values); err != nil {
			return err
		}
	}
}

// normalizeHeader converts the names in the header row to the spelling in columns, in place, and checks them. Its
// errors name line 1, even if comment lines precede the header row.
func (f *file) normalizeHeader(header []string) error {
	for i, name := range header {
		header[i] = strings.ToLower(strings.TrimSpace(name))
		if !slices.Contains(columns, header[i]) {
			return f.errorAt(1, "unknown column %q, want %s", name, strings.Join(columns, ", "))
		}
		if slices.Contains(header[:i], header[i]) {
			return f.errorAt(1, "column %q stands twice", name)
		}
	}
	for _, name := range requiredColumns {
		if !slices.Contains(header, name) {
			return f.errorAt(1, "no column %q", name)
		}
	}
	return nil
}

// csvError adds the line in the file to an error of the CSV reader: the line of the fault, which may come after the
// line on which the row begins. io.EOF can only come from reading the header row, since readCSV handles it for other
// rows.
func (f *file) csvError(err error) error {
	var syntax *csv.ParseError
	switch {
	case errors.As(err, &syntax):
		return f.errorAt(syntax.Line, "%v", syntax.Err)
	case err == io.EOF:
		return f.errorAt(1, "no header row")
	}
	return err
}
