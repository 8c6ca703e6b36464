// Command standin simulates the external systems that godwitmoor works with:
// model engines, application services, the key-value service and the host list.
package main

import "godwitmoor.example/standin/pkg/app"

func main() { app.Main() }
