package build

// Version is the version in version.txt, which a test keeps equal.
const Version = "0.1.0"
