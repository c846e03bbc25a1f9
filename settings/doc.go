// Package settings reads the settings of one process: what it needs before it
// can connect to the platform or to other hosts. The configuration of the cell
// (package config) is separate: operators change it while the cell runs.
//
// A settings file is TOML. An unknown key, a value of the wrong type or a value
// out of range is reported as an [*Error] with the file, the line, the key and,
// for a value out of range, the allowed values. The process then does not start.
package settings
