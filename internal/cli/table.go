package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// A table writes rows of text with aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table with a header row, in upper case.
func newTable(w io.Writer, headers ...string) table {
	const padding = 2
	t := table{
		w: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0),
	}
	upper := make([]string, len(headers))
	for i, h := range headers {
		upper[i] = strings.ToUpper(h)
	}
	t.addRow(upper...)
	return t
}

func (t table) addRow(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t table) flush() {
	_ = t.w.Flush()
}
