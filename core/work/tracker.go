package work

// Tracker holds all that this router knows of the work and the speed of the upstreams. The zero value is empty and ready to use.
type Tracker struct {
	Ledger
	Speeds
	Pace
}
