// Command godwitmoor lets operators check, apply and inspect a deployment's
// configuration and trace how requests were scheduled.
package main

import "godwitmoor.example/godwitmoor/pkg/app"

func main() { app.Main() }
