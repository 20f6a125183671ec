// Package prompt describes prompts for model engines as sequences of parts that requests may share.
package prompt
