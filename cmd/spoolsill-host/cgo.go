package main

// The platform runs only programs that are linked to the C library, which the
// import brings about.
//
// The constructor runs before the runtime does: until main catches it, the signal that
// tells of changed settings is ignored, since by default it ends the process. Settings
// are read after that, so that nothing is missed.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_changed_settings(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
