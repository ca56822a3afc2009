package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/chestnutspring/chestnutspring/client"
)

// A booking is executed at most once. The verdict of the error tells whether it
// may have been executed.
func ExampleClient_Book() {
	caller := client.New(client.Config{
		Directory: "http://directory.example/v1/values/directory",
		Region:    "jeju",
		Team:      "hamdeok-kite-school",
	})
	answer, err := caller.Book(context.Background(), client.Request{
		Service: "spot-desk", Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"slot":7}`),
	})
	var refusal *client.Error
	switch {
	case err == nil:
		fmt.Println("booked", answer.Key)
	case errors.As(err, &refusal) && refusal.Verdict == client.NotRun:
		fmt.Println("not booked, try again after", refusal.RetryAfter)
	case errors.As(err, &refusal):
		fmt.Println("outcome unknown, contact the desk", refusal.Key)
	default:
		fmt.Println("no entry VM reachable")
	}
}
