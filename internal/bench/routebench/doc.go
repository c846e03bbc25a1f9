// Package routebench measures routing: it drives package route on several
// hosts, the plain routers and one shared queue through the same requests on
// the same fake runners on virtual time.
package routebench
