// Package zero gives the zero values of configuration structs their meaning.
package zero

// Default sets v to d if it has its zero value.
func Default[T comparable](v *T, d T) {
	var none T
	if *v == none {
		*v = d
	}
}
