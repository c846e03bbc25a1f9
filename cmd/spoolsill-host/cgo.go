package main

// The platform runs only programs that are linked to the C library, which this import
// ensures.
//
// The constructor runs before the Go runtime starts. It makes the process ignore SIGHUP,
// which announces changed settings and would terminate the process by default, until run
// installs a handler. The settings are read after that, so that no change is missed.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_sighup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
