// Command replay sends traces to a deployment and judges what came of them.
package main

import "godwitmoor.example/replay/pkg/app"

func main() { app.Main() }
