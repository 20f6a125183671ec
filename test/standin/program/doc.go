// Command program runs one stand-in, which is a platform, an engine or a service, as a process.
package main
