// Package standin implements small test doubles of the platform, of model engines and of the order and stock services.
// They can be told over HTTP to misbehave.
package standin
