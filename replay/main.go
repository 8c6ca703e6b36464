// Command replay runs traces against a deployment and audits the results.
package main

import "godwitmoor.example/replay/pkg/app"

func main() { app.Main() }
