// Command godwitmoor is the operators' command.
package main

import "godwitmoor.example/godwitmoor/pkg/app"

func main() { app.Main() }
