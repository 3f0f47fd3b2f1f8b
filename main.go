// Command masticladder routes language-model requests with long shared prompts.
package main

func main() {}
