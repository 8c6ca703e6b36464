// Command kerbrat prints the example configuration of the Kerbrat deployment for
// review.
package main

import (
	"fmt"
	"os"

	"godwitmoor.example/examples/pkg/kerbrat"
)

func main() {
	engines := make([]string, 10)
	for i := range engines {
		engines[i] = fmt.Sprintf("127.0.0.1:%d", 8301+i)
	}
	orderBooks := []string{"127.0.0.1:8401", "127.0.0.1:8402", "127.0.0.1:8403"}
	if err := kerbrat.Deployment(engines, orderBooks).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
