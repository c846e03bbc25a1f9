// Package naive holds the plain versions of the project's decisions: full
// scans, one step at a time, obviously right. Differential tests and
// measurements compare the fast versions with them.
package naive
