// Package zero replaces zero values in configuration structs by defaults.
package zero

// Default sets *v to d if *v is the zero value of its type.
func Default[T comparable](v *T, d T) {
	var none T
	if *v == none {
		*v = d
	}
}
