// Command sassafrasplank places language-model jobs of many client accounts onto
// shared engines, and routes calls to plain services.
package main

import (
	"os"

	"sassafrasplank.example/sassafrasplank/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args))
}
