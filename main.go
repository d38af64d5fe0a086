// Command rhubarbdrift is a proxy fleet between callers and targets with gray failures.
package main

func main() {}
