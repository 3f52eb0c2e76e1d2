package entity

// AppResponse is an endpoint's complete response to a request for an app
// service.
type AppResponse struct {
	Status      int
	ContentType string
	Body        []byte
}
