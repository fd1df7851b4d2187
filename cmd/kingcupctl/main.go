// Command kingcupctl is the operators' command line of kingcupcourse.
package main

import "kingcupcourse/internal/ctl"

func main() { ctl.Main() }
