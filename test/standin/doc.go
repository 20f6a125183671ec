// Package standin holds small stand-ins for the platform, the model engines and the order and stock services.
package standin
