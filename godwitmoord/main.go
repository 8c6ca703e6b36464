// Command godwitmoord is the scheduling daemon that runs on every host.
package main

import "godwitmoor.example/godwitmoord/pkg/app"

func main() { app.Main() }
