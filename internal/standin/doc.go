// Package standin holds small stand-ins for what surrounds the system: the
// platform, the workers and the runners, each served over real sockets, each
// able to fail in the ways that the real ones do.
//
// They record what really happened, so that tests and the demo can check the
// project's promises against them and not against the project's own word. See
// [Truth].
package standin
