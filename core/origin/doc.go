// Package origin remembers with which version of a service each stream began, and decides where a stream may go on. What two versions
// write does not fit together, and upstreams do not check it.
package origin
