// Command kingcupctl is the command line tool for operators of kingcupcourse.
package main

import "kingcupcourse/internal/ctl"

func main() { ctl.Main() }
