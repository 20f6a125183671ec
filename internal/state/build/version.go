package build

// Version is the version of the program. It must equal the content of version.txt, which a test checks.
const Version = "0.1.0"
