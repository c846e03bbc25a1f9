package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// A table aligns columns for people.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, head ...string) table {
	const space = 2
	t := table{
		w: tabwriter.NewWriter(w, 0, 0, space, ' ', 0),
	}
	up := make([]string, len(head))
	for i, h := range head {
		up[i] = strings.ToUpper(h)
	}
	t.row(up...)
	return t
}

func (t table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t table) flush() {
	_ = t.w.Flush()
}
