// Package settings reads the settings of one process: what it needs to know
// before it can reach anybody, as against the configuration of the cell
// (package config), which operators change while it runs.
//
// A settings file is TOML. A key that is not known, a value of the wrong type
// or one that can't work is an [*Error] that names file, line, key and what is
// allowed; nothing is started then.
package settings
