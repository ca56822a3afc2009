// Command chestnut-gateway serves callers on one entry VM.
package main

func main() {}
