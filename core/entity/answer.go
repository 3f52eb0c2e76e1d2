package entity

// Answer is an endpoint's whole answer to an app call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
