// Command hsu prints the example configuration of the Hsu deployment for review.
package main

import (
	"fmt"
	"os"

	"godwitmoor.example/examples/pkg/hsu"
)

func main() {
	engines := make([]hsu.Engine, 10)
	for i := range engines {
		engines[i] = hsu.Engine{Address: fmt.Sprintf("127.0.0.1:%d", 8101+i)}
	}
	desks := []string{"127.0.0.1:8201", "127.0.0.1:8202", "127.0.0.1:8203"}
	if err := hsu.Deployment(engines, desks).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
