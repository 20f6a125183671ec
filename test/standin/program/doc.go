// Command program runs one stand-in as a process: platform, engine or service.
package main
