package main

// The platform runs only programs that are linked to the C library, which the
// import brings about.

import "C"
